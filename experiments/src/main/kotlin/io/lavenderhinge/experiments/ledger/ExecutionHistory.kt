package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerResult

/** Records which requests were executed and checks every result of the ledger against it. */
class ExecutionHistory {
    private data class Execution(val ticket: Long, val answer: LedgerAnswer)

    private val executionsByKey = HashMap<String, Execution>()
    private val executedTickets = HashSet<Long>()
    private val notRunTickets = HashSet<Long>()
    private val finishedTickets = HashSet<Long>()
    private val answeredKeys = HashSet<String>()

    val violations = ArrayList<String>()

    /** Records that the backend server executes the request of [ticket]. */
    fun recordExecution(key: String, ticket: Long, answer: LedgerAnswer) {
        val earlier = executionsByKey.put(key, Execution(ticket, answer))
        if (earlier != null)
            violations += "key $key was executed twice: $earlier, then ticket $ticket"
        if (!executedTickets.add(ticket)) violations += "ticket $ticket was dispatched twice"
        if (ticket in notRunTickets)
            violations += "ticket $ticket was executed after it was reported as not run"
    }

    /** Checks the [result] that the ledger returned to the caller of [ticket]. */
    fun recordResult(key: String, ticket: Long, result: LedgerResult) {
        if (!finishedTickets.add(ticket)) violations += "ticket $ticket got two results"
        when (result) {
            is LedgerResult.Answered -> {
                checkAnswer(key, result.answer, "answer")
                answeredKeys += key
            }
            is LedgerResult.Stored -> checkAnswer(key, result.answer, "stored answer")
            is LedgerResult.NotRun,
            LedgerResult.Mismatch,
            LedgerResult.TooOld -> {
                notRunTickets += ticket
                if (ticket in executedTickets)
                    violations += "ticket $ticket was executed but got the result $result"
            }
            is LedgerResult.Unknown -> Unit
        }
    }

    /** Returns whether a caller received an answer for [key]. */
    fun wasAnswered(key: String): Boolean = key in answeredKeys

    private fun checkAnswer(key: String, reported: LedgerAnswer, what: String) {
        val execution = executionsByKey[key]
        if (execution == null) violations += "key $key has a result ($what) but was never executed"
        else if (execution.answer != reported)
            violations += "key $key has a result ($what) that differs from its execution"
    }
}
