package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerResult

/** What really ran, against which every result of the ledger is checked. */
class ExecutionHistory {
    private data class Execution(val ticket: Long, val answer: LedgerAnswer)

    private val executionsByKey = HashMap<String, Execution>()
    private val executedTickets = HashSet<Long>()
    private val notRunTickets = HashSet<Long>()
    private val finishedTickets = HashSet<Long>()
    private val answeredKeys = HashSet<String>()

    val violations = ArrayList<String>()

    /** The backend server executes the request of [ticket]. */
    fun recordExecution(key: String, ticket: Long, answer: LedgerAnswer) {
        val earlier = executionsByKey.put(key, Execution(ticket, answer))
        if (earlier != null) violations += "key $key ran twice: $earlier, $ticket"
        if (!executedTickets.add(ticket)) violations += "ticket $ticket was dispatched twice"
        if (ticket in notRunTickets) violations += "ticket $ticket ran after 'not-run'"
    }

    /** The ledger told the caller of [ticket] the [result]. */
    fun recordResult(key: String, ticket: Long, result: LedgerResult) {
        if (!finishedTickets.add(ticket)) violations += "ticket $ticket was answered twice"
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
                    violations += "ticket $ticket ran and was told $result"
            }
            is LedgerResult.Unknown -> Unit
        }
    }

    /** True when an answer for [key] was given to a caller. */
    fun wasAnswered(key: String): Boolean = key in answeredKeys

    private fun checkAnswer(key: String, reported: LedgerAnswer, what: String) {
        val execution = executionsByKey[key]
        if (execution == null) violations += "key $key has an $what and never ran"
        else if (execution.answer != reported) violations += "key $key has another $what"
    }
}
