package io.lavenderhinge.core.ledger

/**
 * Processes the messages of one shard and replies to them.
 *
 * A reply that permits a dispatch is sent only after the write that records it took effect. Replies
 * based on memory alone are limited to those that remain true after another writer takes over.
 */
internal class ShardWriter(private val shard: Int, private val context: WriterContext) :
    ShardStoreListener {
    private val limits = context.limits
    private val rules = ShardRules(limits)
    private val planner = CommitPlanner(limits)
    private val ownerQueries = OwnerQueries(limits)
    private val store = ShardStore(shard, context, planner, this)
    private val inbox = ArrayDeque<PendingMessage>()
    private val awaitingRefresh = ArrayList<PendingMessage>()

    /**
     * Messages that the head read under way was issued for. A read that was issued before a message
     * arrived may miss writes that precede the message.
     */
    private val refreshing = ArrayList<PendingMessage>()
    private var staged = Batch()
    private var committing = Batch()

    /** Time of the next read attempt during an outage; null otherwise. */
    private var probeAtMillis: Long? = null
    private var isStalled = false

    /** True when no message is pending and no store call is under way. */
    val isIdle: Boolean
        get() = store.operation == null && pendingCount() == 0 && ownerQueries.isEmpty

    val loadedRecordCount: Int
        get() = store.records?.currentRecords()?.count() ?: 0

    val nextWakeMillis: Long
        get() {
            val current = store.operation
            val byOperation =
                when {
                    current != null && isStalled ->
                        current.startedAtMillis + limits.storeCallTimeoutMillis
                    current != null -> current.startedAtMillis + limits.stallTimeoutMillis
                    probeAtMillis != null -> probeAtMillis!!
                    !staged.isEmpty() || inbox.isNotEmpty() -> store.nextWriteAtMillis
                    else -> Long.MAX_VALUE
                }
            return minOf(byOperation, ownerQueries.nextWakeMillis)
        }

    fun receive(fromInstanceId: String, message: LedgerMessage.Call, nowMillis: Long) {
        val pending = PendingMessage(fromInstanceId, message)
        val selected = context.selectedWriter(shard)
        if (selected != context.instanceId) {
            return reply(pending, LedgerOutcome.NotWriter(selected))
        }
        if (isStalled || probeAtMillis != null) return reply(pending, unavailable)
        inbox += pending
        advance(nowMillis)
    }

    fun onOwnerReply(callId: Long, outcome: LedgerOutcome, nowMillis: Long) {
        val pending = ownerQueries.onReply(callId, outcome)
        when (outcome) {
            LedgerOutcome.OwnerActive -> pending.forEach { reply(it, LedgerOutcome.InFlight) }
            LedgerOutcome.OwnerNeverDispatched -> inbox += pending
            else -> inbox += pending.map { it.copy(isOwnerUnknown = true) }
        }
        advance(nowMillis)
    }

    fun onWake(nowMillis: Long) {
        val current = store.operation
        if (
            current != null && nowMillis >= current.startedAtMillis + limits.storeCallTimeoutMillis
        ) {
            store.fail("a store call timed out", nowMillis)
        } else if (
            current != null && nowMillis >= current.startedAtMillis + limits.stallTimeoutMillis
        ) {
            isStalled = true
            failPending(unavailable)
        }
        advance(nowMillis)
    }

    fun onStoreResult(result: StoreResult, nowMillis: Long) {
        if (store.operation?.isWaitingFor(result.callId) != true) return
        isStalled = false
        store.onStoreResult(result, nowMillis)
        advance(nowMillis)
    }

    /**
     * Replies to all pending messages with [outcome]. The shard's records may be unloaded
     * afterwards.
     */
    fun failPending(outcome: LedgerOutcome) {
        val all =
            takePendingMessages() + inbox + awaitingRefresh + refreshing + ownerQueries.clear()
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

    override fun onCommitted() {
        val done = committing
        committing = Batch()
        done.replies.forEach { reply(it.pending, it.outcome) }
    }

    override fun onConflict(nowMillis: Long): Boolean {
        inbox.addAll(0, takePendingMessages())
        val selected = context.selectedWriter(shard)
        if (selected == context.instanceId) return true
        failPending(LedgerOutcome.NotWriter(selected))
        return false
    }

    override fun onLoaded(isChanged: Boolean) {
        probeAtMillis = null
        if (isChanged) inbox.addAll(0, takePendingMessages())
        inbox += refreshing.map { it.copy(isRefreshed = true) }
        refreshing.clear()
    }

    override fun onFailure(detail: String, nowMillis: Long) {
        isStalled = false
        if (probeAtMillis == null) {
            context.emit(LedgerEffect.Log("shard $shard: the store failed: $detail", false))
        }
        probeAtMillis = nowMillis + limits.probeIntervalMillis
        failPending(unavailable)
    }

    private fun advance(nowMillis: Long) {
        sendOwnerQueries(nowMillis)
        processInbox(nowMillis)
        sendOwnerQueries(nowMillis)
        if (store.operation == null) startStoreOperation(nowMillis)
    }

    private fun sendOwnerQueries(nowMillis: Long) =
        ownerQueries
            .takeDue(shard, nowMillis) { unanswered ->
                inbox += unanswered.map { it.copy(isOwnerUnknown = true) }
            }
            .forEach(context.emit)

    private fun startStoreOperation(nowMillis: Long) {
        val probeAt = probeAtMillis
        val current = store.records
        when {
            probeAt != null -> if (nowMillis >= probeAt) store.readHead(nowMillis)
            current == null || store.isStale -> if (pendingCount() > 0) store.readHead(nowMillis)
            awaitingRefresh.isNotEmpty() -> {
                refreshing += awaitingRefresh
                awaitingRefresh.clear()
                store.readHead(nowMillis)
            }
            nowMillis < store.nextWriteAtMillis -> return
            !staged.isEmpty() || inbox.isNotEmpty() || store.isExpiryDue(current, nowMillis) ->
                store.commit(current, staged.sizeBytes, nowMillis)
        }
    }

    private fun processInbox(nowMillis: Long) {
        val current = store.records ?: return
        if (store.isStale) return
        while (inbox.isNotEmpty()) {
            val bytes = current.openBytes + committing.sizeBytes + staged.sizeBytes
            if (!planner.fitsHead(current, bytes + limits.maxRecordBytes)) return
            processMessage(inbox.removeFirst(), current, nowMillis)
        }
    }

    private fun processMessage(pending: PendingMessage, current: ShardRecords, nowMillis: Long) {
        when (val decision = decide(pending, current, nowMillis)) {
            is Decision.Reply -> reply(pending, decision.outcome)
            is Decision.Write -> staged.add(decision.record, pending, decision.outcome)
            is Decision.ReplyAfterWrite -> {
                val batch = if (pending.message.key in staged.records) staged else committing
                batch.replies += PendingReply(pending, decision.outcome)
            }
            Decision.Refresh -> awaitingRefresh += pending
            is Decision.QueryOwner ->
                ownerQueries.add(decision.intent, pending) { context.nextOwnerQueryId(shard) }
        }
    }

    private fun decide(pending: PendingMessage, current: ShardRecords, nowMillis: Long): Decision {
        val message = pending.message
        val uncommitted = staged.records[message.key] ?: committing.records[message.key]
        val keyState =
            uncommitted?.let { KeyState(it.record, isCommitted = false) }
                ?: KeyState(current.find(message.key), isCommitted = true)
        val horizonMillis = store.horizonMillis(current)
        return when (message) {
            is LedgerMessage.Reserve ->
                if (keyState.record == null && planner.isFull(current)) {
                    Decision.Reply(LedgerOutcome.Unavailable("the shard's size budget is used up"))
                } else {
                    val neverDispatched = ownerQueries::isNeverDispatched
                    rules.reserve(
                        message,
                        pending,
                        keyState,
                        horizonMillis,
                        nowMillis,
                        neverDispatched,
                    )
                }
            is LedgerMessage.Complete -> rules.complete(message, pending, keyState, horizonMillis)
            is LedgerMessage.Void -> rules.void(message, keyState, horizonMillis)
            is LedgerMessage.OwnerQuery -> Decision.Reply(LedgerOutcome.OwnerUnknown)
        }
    }

    /** Removes and returns the messages of both batches; the caller requeues them or fails them. */
    private fun takePendingMessages(): List<PendingMessage> {
        val taken = (committing.replies + staged.replies).map { it.pending }
        committing.replies.clear()
        staged = Batch()
        // A head write under way may still take effect, so its records are kept as uncommitted.
        if (store.operation !is WriterOperation.WritingHead) committing = Batch()
        return taken
    }

    private fun pendingCount(): Int =
        inbox.size +
            awaitingRefresh.size +
            refreshing.size +
            committing.replies.size +
            staged.replies.size

    private fun reply(pending: PendingMessage, outcome: LedgerOutcome) {
        val reply = LedgerMessage.Reply(pending.message.callId, outcome)
        context.emit(LedgerEffect.Send(pending.fromInstanceId, reply))
    }

    private companion object {
        val unavailable =
            LedgerOutcome.Unavailable("the platform's key-value service does not answer")
    }
}
