package io.lavenderhinge.core.ledger

import kotlin.random.Random

/**
 * The ledger of one instance: the entry side and the writers of its shards.
 *
 * A deterministic state machine that maps an event and the time to effects. It is not thread-safe.
 * [liveInstanceIds] must return the same list object while membership is unchanged.
 */
class LedgerNode(
    private val instanceId: String,
    private val limits: LedgerLimits,
    private val random: Random,
    private val liveInstanceIds: () -> List<String>,
) {
    /**
     * Ids start at a random number, so that a late reply to a call of an earlier process with the
     * same instance id does not match a call of this process.
     */
    private var lastId = random.nextLong(1L shl ID_BITS)
    private var lastCommitNumber = 0L
    private val incarnation = random.nextLong(1L shl ID_BITS).toString(RADIX)
    private val effects = ArrayList<LedgerEffect>()
    private val writers = LinkedHashMap<Int, ShardWriter>()
    private var cachedLiveIds: List<String> = emptyList()
    private val writerByShard = HashMap<Int, String?>()
    private val entry =
        EntryAttempts(
            EntryContext(
                instanceId,
                incarnation,
                limits,
                ::selectedWriter,
                { it in liveInstanceIds() },
                { ++lastId shl 1 },
                effects::add,
            )
        )
    private val writerContext =
        WriterContext(
            instanceId,
            "$instanceId~$incarnation",
            limits,
            random,
            ::selectedWriter,
            { ++lastId },
            { ++lastCommitNumber },
            { shard -> ((++lastId * limits.shardCount + shard) shl 1) or 1 },
            effects::add,
        )

    /** When to pass [LedgerEvent.Wake], in epoch milliseconds; [Long.MAX_VALUE] for never. */
    val nextWakeMillis: Long
        get() =
            writers.values.fold(entry.nextWakeMillis) { next, writer ->
                minOf(next, writer.nextWakeMillis)
            }

    /** Number of attempts of this entry whose outcome is not confirmed to be in the store. */
    val openAttemptCount: Int
        get() = entry.openCount

    /** Number of keys held in memory for the shards that this instance writes. */
    val loadedRecordCount: Int
        get() = writers.values.sumOf { it.loadedRecordCount }

    /** Handles [event] at [nowMillis]. The effects must be executed in order. */
    fun handle(event: LedgerEvent, nowMillis: Long): List<LedgerEffect> {
        try {
            handleEvent(event, nowMillis)
        } catch (e: LedgerInvariantViolation) {
            effects += LedgerEffect.Log("entry: ${e.message}", isError = true)
        }
        return effects.toList().also { effects.clear() }
    }

    private fun handleEvent(event: LedgerEvent, nowMillis: Long) {
        when (event) {
            is LedgerEvent.Begin -> entry.begin(event.ticket, event.request, nowMillis)
            is LedgerEvent.Cancel -> entry.cancel(event.ticket)
            is LedgerEvent.DispatchEnded ->
                entry.onDispatchEnded(event.ticket, event.outcome, nowMillis)
            is LedgerEvent.Received -> handleMessage(event.fromInstanceId, event.message, nowMillis)
            is LedgerEvent.StoreReplied ->
                withWriter(event.result.shard) { it.onStoreResult(event.result, nowMillis) }
            is LedgerEvent.LinkLost -> entry.onLinkLost(event.instanceId, nowMillis)
            LedgerEvent.Wake -> onWake(nowMillis)
        }
    }

    private fun handleMessage(from: String, message: LedgerMessage, nowMillis: Long) {
        when (message) {
            is LedgerMessage.OwnerQuery -> {
                val reply =
                    LedgerMessage.Reply(message.callId, entry.answerOwnerQuery(message.attemptId))
                effects += LedgerEffect.Send(from, reply)
            }
            is LedgerMessage.Reply ->
                if (message.callId and 1 == 0L) {
                    entry.onReply(message.callId, message.outcome, nowMillis)
                } else {
                    val shard = Math.floorMod(message.callId shr 1, limits.shardCount)
                    withWriter(shard) {
                        it.onOwnerReply(message.callId, message.outcome, nowMillis)
                    }
                }
            is LedgerMessage.Call -> {
                if (message.shard !in 0 until limits.shardCount) return
                writers.getOrPut(message.shard) { ShardWriter(message.shard, writerContext) }
                withWriter(message.shard) { it.receive(from, message, nowMillis) }
            }
        }
    }

    private fun onWake(nowMillis: Long) {
        entry.onWake(nowMillis)
        for (shard in writers.keys.toList()) {
            withWriter(shard) { it.onWake(nowMillis) }
            removeIfReplaced(shard)
        }
    }

    /** Unloads a shard that another instance now writes. */
    private fun removeIfReplaced(shard: Int) {
        val writer = writers[shard] ?: return
        if (writer.isIdle && selectedWriter(shard) != instanceId) writers.remove(shard)
    }

    /**
     * Runs [action] on the writer of [shard]. A writer that fails is discarded; its replacement
     * loads the shard from the store.
     */
    private fun withWriter(shard: Int, action: (ShardWriter) -> Unit) {
        val writer = writers[shard] ?: return
        try {
            action(writer)
        } catch (e: RuntimeException) {
            // A corrupt stored value causes an invariant violation or a conversion error.
            effects += LedgerEffect.Log("shard $shard: $e", isError = true)
            writers.remove(shard)
            writer.failPending(LedgerOutcome.Unavailable("the shard is being loaded again"))
        }
    }

    private fun selectedWriter(shard: Int): String? {
        val current = liveInstanceIds()
        if (current !== cachedLiveIds) {
            cachedLiveIds = current
            writerByShard.clear()
        }
        return writerByShard.getOrPut(shard) { ShardMapping.writerOf(shard, current) }
    }

    private companion object {
        const val ID_BITS = 52
    }
}
