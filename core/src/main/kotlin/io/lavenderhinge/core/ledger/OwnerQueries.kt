package io.lavenderhinge.core.ledger

/** Queries to the owners of intents without an outcome, and who waits for them. */
internal class OwnerQueries(private val limits: LedgerLimits) {
    private class PendingQuery(val intent: LedgerRecord, val callId: Long) {
        val pending = ArrayList<PendingMessage>()
        var sentCount = 0
        var nextSendAtMillis = 0L
    }

    private val byAttempt = LinkedHashMap<String, PendingQuery>()
    private val neverDispatched = LinkedHashSet<String>()

    val isEmpty: Boolean
        get() = byAttempt.isEmpty()

    /** When [takeDue] has something to do. */
    val nextWakeMillis: Long
        get() = byAttempt.values.minOfOrNull { it.nextSendAtMillis } ?: Long.MAX_VALUE

    fun isNeverDispatched(attemptId: String): Boolean = attemptId in neverDispatched

    fun add(intent: LedgerRecord, pending: PendingMessage, nextCallId: () -> Long) {
        val query = byAttempt.getOrPut(intent.attemptId) { PendingQuery(intent, nextCallId()) }
        query.pending += pending
    }

    /** Queries to send now, by owner; [onUnanswered] gets those whose owner did not answer. */
    fun takeDue(
        shard: Int,
        nowMillis: Long,
        onUnanswered: (List<PendingMessage>) -> Unit,
    ): List<LedgerEffect.Send> {
        val sends = ArrayList<LedgerEffect.Send>()
        val dueQueries = byAttempt.values.filter { it.nextSendAtMillis <= nowMillis }
        for (query in dueQueries) {
            if (query.sentCount >= limits.maxOwnerQueries) {
                byAttempt.remove(query.intent.attemptId)
                onUnanswered(query.pending)
                continue
            }
            query.sentCount++
            query.nextSendAtMillis = nowMillis + limits.ownerQueryTimeoutMillis
            val intent = query.intent
            val message =
                LedgerMessage.OwnerQuery(query.callId, shard, intent.key, intent.attemptId)
            sends += LedgerEffect.Send(intent.entryId, message)
        }
        return sends
    }

    /** Ends the query [callId]; returns those who waited for it. */
    fun onReply(callId: Long, outcome: LedgerOutcome): List<PendingMessage> {
        val query = byAttempt.values.firstOrNull { it.callId == callId } ?: return emptyList()
        byAttempt.remove(query.intent.attemptId)
        if (outcome == LedgerOutcome.OwnerNeverDispatched) remember(query.intent.attemptId)
        return query.pending
    }

    /** Ends all queries; returns those who waited. */
    fun clear(): List<PendingMessage> {
        val all = byAttempt.values.flatMap { it.pending }
        byAttempt.clear()
        return all
    }

    private fun remember(attemptId: String) {
        neverDispatched += attemptId
        if (neverDispatched.size > MAX_REMEMBERED) neverDispatched.remove(neverDispatched.first())
    }

    private companion object {
        /** Each is used by the commit that follows at once; a forgotten one is asked for again. */
        const val MAX_REMEMBERED = 1024
    }
}
