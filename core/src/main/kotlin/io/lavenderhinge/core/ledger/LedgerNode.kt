package io.lavenderhinge.core.ledger

import kotlin.random.Random

/**
 * The ledger of one instance: its entry side and the shards that it writes.
 *
 * A deterministic state machine: an event and the time in, effects out. It must be called by one
 * thread at a time. [liveInstanceIds] returns the same list object while membership is unchanged.
 */
class LedgerNode(
    private val instanceId: String,
    private val limits: LedgerLimits,
    private val random: Random,
    private val liveInstanceIds: () -> List<String>,
) {
    /**
     * Ids start at a random number: a late reply to a call of an earlier process with the same
     * instance id must not match a call of this one.
     */
    private var lastId = random.nextLong(1L shl ID_BITS)
    private var lastCommitNumber = 0L
    private val incarnation = random.nextLong(1L shl ID_BITS).toString(RADIX)
    private val effects = ArrayList<LedgerEffect>()
    private val writers = LinkedHashMap<Int, ShardWriter>()
    private var live: List<String> = emptyList()
    private val selected = HashMap<Int, String?>()
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

    /** When to send [LedgerEvent.Wake], in epoch milliseconds; Long.MAX_VALUE for never. */
    val nextWakeMillis: Long
        get() =
            writers.values.fold(entry.nextWakeMillis) { next, writer ->
                minOf(next, writer.nextWakeMillis)
            }

    /** Attempts of this entry whose outcome is not yet known to be in the store. */
    val openAttemptCount: Int
        get() = entry.openCount

    /** Keys held in memory as the writer of their shard. */
    val loadedRecordCount: Int
        get() = writers.values.sumOf { it.loadedRecordCount }

    /** Handles [event] at [nowMillis]; the effects are to be executed in order. */
    fun handle(event: LedgerEvent, nowMillis: Long): List<LedgerEffect> {
        try {
            dispatchEvent(event, nowMillis)
        } catch (e: LedgerInvariantViolation) {
            effects += LedgerEffect.Report("entry: ${e.message}", serious = true)
        }
        return effects.toList().also { effects.clear() }
    }

    private fun dispatchEvent(event: LedgerEvent, nowMillis: Long) {
        when (event) {
            is LedgerEvent.Begin -> entry.begin(event.ticket, event.request, nowMillis)
            is LedgerEvent.Cancel -> entry.cancel(event.ticket)
            is LedgerEvent.Dispatched -> entry.dispatched(event.ticket, event.outcome, nowMillis)
            is LedgerEvent.Received -> received(event.fromInstanceId, event.message, nowMillis)
            is LedgerEvent.StoreReplied ->
                guarded(event.result.shard) { it.storeReplied(event.result, nowMillis) }
            is LedgerEvent.LinkLost -> entry.linkLost(event.instanceId, nowMillis)
            LedgerEvent.Wake -> wake(nowMillis)
        }
    }

    private fun received(from: String, message: LedgerMessage, nowMillis: Long) {
        when (message) {
            is LedgerMessage.OwnerQuery -> {
                val reply = LedgerMessage.Reply(message.callId, entry.ownerQuery(message.attemptId))
                effects += LedgerEffect.Send(from, reply)
            }
            is LedgerMessage.Reply ->
                if (message.callId and 1 == 0L) {
                    entry.replied(message.callId, message.outcome, nowMillis)
                } else {
                    val shard = Math.floorMod(message.callId shr 1, limits.shardCount)
                    guarded(shard) { it.ownerReplied(message.callId, message.outcome, nowMillis) }
                }
            is LedgerMessage.Call -> {
                if (message.shard !in 0 until limits.shardCount) return
                writers.getOrPut(message.shard) { ShardWriter(message.shard, writerContext) }
                guarded(message.shard) { it.receive(from, message, nowMillis) }
            }
        }
    }

    private fun wake(nowMillis: Long) {
        entry.wake(nowMillis)
        for (shard in writers.keys.toList()) {
            guarded(shard) { it.wake(nowMillis) }
            dropIfReplaced(shard)
        }
    }

    /** Frees the memory of a shard that another instance writes now. */
    private fun dropIfReplaced(shard: Int) {
        val writer = writers[shard] ?: return
        if (writer.isIdle && selectedWriter(shard) != instanceId) writers.remove(shard)
    }

    /** Drops a writer that broke an invariant: its successor starts from what is in the store. */
    private fun guarded(shard: Int, action: (ShardWriter) -> Unit) {
        val writer = writers[shard] ?: return
        try {
            action(writer)
        } catch (e: RuntimeException) {
            // A damaged value shows as a broken invariant or as a failed conversion.
            effects += LedgerEffect.Report("shard $shard: $e", serious = true)
            writers.remove(shard)
            writer.failWaiting(LedgerOutcome.Unavailable("the shard is being loaded again"))
        }
    }

    private fun selectedWriter(shard: Int): String? {
        val current = liveInstanceIds()
        if (current !== live) {
            live = current
            selected.clear()
        }
        return selected.getOrPut(shard) { ShardNames.writerOf(shard, current) }
    }

    private companion object {
        const val ID_BITS = 52
    }
}
