package io.lavenderhinge.core.ledger

/** Queries to the owners of intents without an outcome, and who waits for them. */
internal class OwnerInquiries(private val limits: LedgerLimits) {
    private class Inquiry(val intent: LedgerRecord, val callId: Long) {
        val waiting = ArrayList<Waiting>()
        var queries = 0
        var nextAtMillis = 0L
    }

    private val byAttempt = LinkedHashMap<String, Inquiry>()
    private val neverDispatched = LinkedHashSet<String>()

    val isEmpty: Boolean
        get() = byAttempt.isEmpty()

    /** When [due] has something to do. */
    val nextWakeMillis: Long
        get() = byAttempt.values.minOfOrNull { it.nextAtMillis } ?: Long.MAX_VALUE

    fun isNeverDispatched(attemptId: String): Boolean = attemptId in neverDispatched

    fun add(intent: LedgerRecord, waiting: Waiting, nextCallId: () -> Long) {
        val inquiry = byAttempt.getOrPut(intent.attemptId) { Inquiry(intent, nextCallId()) }
        inquiry.waiting += waiting
    }

    /** Queries to send now, by owner; [onSilent] gets those whose owner did not answer. */
    fun due(
        shard: Int,
        nowMillis: Long,
        onSilent: (List<Waiting>) -> Unit,
    ): List<LedgerEffect.Send> {
        val sends = ArrayList<LedgerEffect.Send>()
        val due = byAttempt.values.filter { it.nextAtMillis <= nowMillis }
        for (inquiry in due) {
            if (inquiry.queries >= limits.ownerQueryCount) {
                byAttempt.remove(inquiry.intent.attemptId)
                onSilent(inquiry.waiting)
                continue
            }
            inquiry.queries++
            inquiry.nextAtMillis = nowMillis + limits.ownerQueryMillis
            val intent = inquiry.intent
            val query =
                LedgerMessage.OwnerQuery(inquiry.callId, shard, intent.key, intent.attemptId)
            sends += LedgerEffect.Send(intent.entryId, query)
        }
        return sends
    }

    /** Ends the inquiry [callId]; returns those who waited for it. */
    fun answered(callId: Long, outcome: LedgerOutcome): List<Waiting> {
        val inquiry = byAttempt.values.firstOrNull { it.callId == callId } ?: return emptyList()
        byAttempt.remove(inquiry.intent.attemptId)
        if (outcome == LedgerOutcome.OwnerNeverDispatched) remember(inquiry.intent.attemptId)
        return inquiry.waiting
    }

    /** Ends all inquiries; returns those who waited. */
    fun clear(): List<Waiting> {
        val all = byAttempt.values.flatMap { it.waiting }
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
