package io.lavenderhinge.core.ledger

/** Queries to the owners of intents that have no outcome, with the messages that depend on each. */
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

    /** When [takeDue] must be called next. */
    val nextWakeMillis: Long
        get() = byAttempt.values.minOfOrNull { it.nextSendAtMillis } ?: Long.MAX_VALUE

    fun isNeverDispatched(attemptId: String): Boolean = attemptId in neverDispatched

    fun add(intent: LedgerRecord, pending: PendingMessage, nextCallId: () -> Long) {
        val query = byAttempt.getOrPut(intent.attemptId) { PendingQuery(intent, nextCallId()) }
        query.pending += pending
    }

    /**
     * Returns the queries to send now. [onUnanswered] receives the messages of queries that have
     * reached the maximum number of sends without a reply.
     */
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

    /** Removes the query [callId] and returns the messages that depended on it. */
    fun onReply(callId: Long, outcome: LedgerOutcome): List<PendingMessage> {
        val query = byAttempt.values.firstOrNull { it.callId == callId } ?: return emptyList()
        byAttempt.remove(query.intent.attemptId)
        if (outcome == LedgerOutcome.OwnerNeverDispatched) remember(query.intent.attemptId)
        return query.pending
    }

    /** Removes all queries and returns the messages that depended on them. */
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
        /**
         * The next commit normally uses an attempt id at once. For an evicted id the owner is
         * queried again.
         */
        const val MAX_REMEMBERED = 1024
    }
}
