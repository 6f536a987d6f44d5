package io.lavenderhinge.core.ledger

/**
 * Decides on the messages of one shard and answers them.
 *
 * Nothing that allows a dispatch is answered before a write that says so took effect. Answers from
 * memory alone are limited to those that stay true when another writer has taken over.
 */
internal class ShardWriter(private val shard: Int, private val context: WriterContext) :
    ShardStoreListener {
    private val limits = context.limits
    private val rules = ShardRules(limits)
    private val planner = CommitPlanner(limits)
    private val inquiries = OwnerInquiries(limits)
    private val store = ShardStore(shard, context, planner, this)
    private val inbox = ArrayDeque<Waiting>()
    private val awaitingRefresh = ArrayList<Waiting>()

    /**
     * Those for whom the head is being read: a read issued before a message proves nothing for it.
     */
    private val refreshing = ArrayList<Waiting>()
    private var staged = Batch()
    private var committing = Batch()

    /** Not null during an outage: when to try the store again. */
    private var probeAtMillis: Long? = null
    private var isStalled = false

    /** True when nothing waits and no store call is under way. */
    val isIdle: Boolean
        get() = store.operation == null && waitingCount() == 0 && inquiries.isEmpty

    val loadedRecordCount: Int
        get() = store.records?.all()?.count() ?: 0

    val nextWakeMillis: Long
        get() {
            val current = store.operation
            val byOperation =
                when {
                    current != null && isStalled -> current.startedAtMillis + limits.storeCallMillis
                    current != null -> current.startedAtMillis + limits.stallMillis
                    probeAtMillis != null -> probeAtMillis!!
                    !staged.isEmpty() || inbox.isNotEmpty() -> store.nextWriteAtMillis
                    else -> Long.MAX_VALUE
                }
            return minOf(byOperation, inquiries.nextWakeMillis)
        }

    fun receive(fromInstanceId: String, message: LedgerMessage.Call, nowMillis: Long) {
        val waiting = Waiting(fromInstanceId, message)
        val selected = context.selectedWriter(shard)
        if (selected != context.instanceId) {
            return reply(waiting, LedgerOutcome.NotWriter(selected))
        }
        if (isStalled || probeAtMillis != null) return reply(waiting, unavailable)
        inbox += waiting
        pump(nowMillis)
    }

    fun ownerReplied(callId: Long, outcome: LedgerOutcome, nowMillis: Long) {
        val waiting = inquiries.answered(callId, outcome)
        when (outcome) {
            LedgerOutcome.OwnerActive -> waiting.forEach { reply(it, LedgerOutcome.InFlight) }
            LedgerOutcome.OwnerNeverDispatched -> inbox += waiting
            else -> inbox += waiting.map { it.copy(doubted = true) }
        }
        pump(nowMillis)
    }

    fun wake(nowMillis: Long) {
        val current = store.operation
        if (current != null && nowMillis >= current.startedAtMillis + limits.storeCallMillis) {
            store.fail("a store call gave no result", nowMillis)
        } else if (current != null && nowMillis >= current.startedAtMillis + limits.stallMillis) {
            isStalled = true
            failWaiting(unavailable)
        }
        pump(nowMillis)
    }

    fun storeReplied(result: StoreResult, nowMillis: Long) {
        if (store.operation?.isWaitingFor(result.callId) != true) return
        isStalled = false
        store.storeReplied(result, nowMillis)
        pump(nowMillis)
    }

    /** Answers all that wait with [outcome]; the shard's records may be dropped afterwards. */
    fun failWaiting(outcome: LedgerOutcome) {
        val all = takeBatches() + inbox + awaitingRefresh + refreshing + inquiries.clear()
        inbox.clear()
        refreshing.clear()
        awaitingRefresh.clear()
        all.forEach { reply(it, outcome) }
    }

    override fun takeStaged(): Map<String, EncodedRecord> {
        committing = staged
        staged = Batch()
        return committing.records
    }

    override fun committed() {
        val done = committing
        committing = Batch()
        done.replies.forEach { reply(it.waiting, it.outcome) }
    }

    override fun overtaken(nowMillis: Long): Boolean {
        inbox.addAll(0, takeBatches())
        val selected = context.selectedWriter(shard)
        if (selected == context.instanceId) return true
        failWaiting(LedgerOutcome.NotWriter(selected))
        return false
    }

    override fun loaded(isChanged: Boolean) {
        probeAtMillis = null
        if (isChanged) inbox.addAll(0, takeBatches())
        inbox += refreshing.map { it.copy(fresh = true) }
        refreshing.clear()
    }

    override fun failed(detail: String, nowMillis: Long) {
        isStalled = false
        if (probeAtMillis == null) {
            context.emit(LedgerEffect.Report("shard $shard: the store failed: $detail", false))
        }
        probeAtMillis = nowMillis + limits.probeMillis
        failWaiting(unavailable)
    }

    private fun pump(nowMillis: Long) {
        askOwners(nowMillis)
        evaluateInbox(nowMillis)
        askOwners(nowMillis)
        if (store.operation == null) startNext(nowMillis)
    }

    private fun askOwners(nowMillis: Long) =
        inquiries
            .due(shard, nowMillis) { silent -> inbox += silent.map { it.copy(doubted = true) } }
            .forEach(context.emit)

    private fun startNext(nowMillis: Long) {
        val probeAt = probeAtMillis
        val current = store.records
        when {
            probeAt != null -> if (nowMillis >= probeAt) store.readHead(nowMillis)
            current == null || store.isStale -> if (waitingCount() > 0) store.readHead(nowMillis)
            awaitingRefresh.isNotEmpty() -> {
                refreshing += awaitingRefresh
                awaitingRefresh.clear()
                store.readHead(nowMillis)
            }
            nowMillis < store.nextWriteAtMillis -> return
            !staged.isEmpty() || inbox.isNotEmpty() || store.wantsExpiry(current, nowMillis) ->
                store.commit(current, staged.sizeBytes, nowMillis)
        }
    }

    private fun evaluateInbox(nowMillis: Long) {
        val current = store.records ?: return
        if (store.isStale) return
        while (inbox.isNotEmpty()) {
            val bytes = current.openBytes + committing.sizeBytes + staged.sizeBytes
            if (!planner.fits(current, bytes + limits.recordBytes)) return
            evaluate(inbox.removeFirst(), current, nowMillis)
        }
    }

    private fun evaluate(waiting: Waiting, current: ShardRecords, nowMillis: Long) {
        when (val verdict = decide(waiting, current, nowMillis)) {
            is Verdict.Answer -> reply(waiting, verdict.outcome)
            is Verdict.Write -> staged.add(verdict.record, waiting, verdict.outcome)
            is Verdict.AfterWrite -> {
                val batch = if (waiting.message.key in staged.records) staged else committing
                batch.replies += DueReply(waiting, verdict.outcome)
            }
            Verdict.Refresh -> awaitingRefresh += waiting
            is Verdict.AskOwner ->
                inquiries.add(verdict.intent, waiting) { context.nextInquiryId(shard) }
        }
    }

    private fun decide(waiting: Waiting, current: ShardRecords, nowMillis: Long): Verdict {
        val message = waiting.message
        val uncommitted = staged.records[message.key] ?: committing.records[message.key]
        val seen =
            uncommitted?.let { Seen(it.record, committed = false) }
                ?: Seen(current.find(message.key), committed = true)
        val horizonMillis = store.horizonMillis(current)
        return when (message) {
            is LedgerMessage.Reserve ->
                if (seen.record == null && planner.isFull(current)) {
                    Verdict.Answer(LedgerOutcome.Unavailable("the shard's size budget is used up"))
                } else {
                    val isVoid = inquiries::isNeverDispatched
                    rules.reserve(message, waiting, seen, horizonMillis, nowMillis, isVoid)
                }
            is LedgerMessage.Complete -> rules.complete(message, waiting, seen, horizonMillis)
            is LedgerMessage.Void -> rules.void(message, seen, horizonMillis)
            is LedgerMessage.OwnerQuery -> Verdict.Answer(LedgerOutcome.OwnerUnknown)
        }
    }

    /** Empties the batches; their messages are decided again or failed by the caller. */
    private fun takeBatches(): List<Waiting> {
        val taken = (committing.replies + staged.replies).map { it.waiting }
        committing.replies.clear()
        staged = Batch()
        // A head write under way may still take effect: its records stay in view.
        if (store.operation !is WriterOperation.WritingHead) committing = Batch()
        return taken
    }

    private fun waitingCount(): Int =
        inbox.size +
            awaitingRefresh.size +
            refreshing.size +
            committing.replies.size +
            staged.replies.size

    private fun reply(waiting: Waiting, outcome: LedgerOutcome) {
        val reply = LedgerMessage.Reply(waiting.message.callId, outcome)
        context.emit(LedgerEffect.Send(waiting.fromInstanceId, reply))
    }

    private companion object {
        val unavailable =
            LedgerOutcome.Unavailable("the platform's key-value service does not answer")
    }
}
