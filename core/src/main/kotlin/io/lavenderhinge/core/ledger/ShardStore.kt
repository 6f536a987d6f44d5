package io.lavenderhinge.core.ledger

import arrow.core.Either
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue

/** Learns how the store calls of a shard end. */
internal interface ShardStoreListener {
    /** The head is about to be written; returns the records that go into it. */
    fun takeStaged(): Map<String, EncodedRecord>

    /** The records taken last are in the store. */
    fun committed()

    /** Another writer committed. False if the shard should not be loaded again. */
    fun overtaken(nowMillis: Long): Boolean

    /** The records agree with the store; [isChanged] if they are not those from before. */
    fun loaded(isChanged: Boolean)

    /** The store failed; what was under way may or may not have taken effect. */
    fun failed(detail: String, nowMillis: Long)
}

/**
 * Loads and commits the records of one shard, one store call after the other.
 *
 * A commit is a compare-and-swap of the head. If its answer is lost, the head is read back: the
 * content, which carries the commit id, tells whether it took effect; if not, the same write is
 * repeated with the same expected version.
 */
internal class ShardStore(
    private val shard: Int,
    private val context: WriterContext,
    private val planner: CommitPlanner,
    private val listener: ShardStoreListener,
) {
    private val limits = context.limits
    private val slots = SegmentSlots()
    private var prepared: PreparedSegment? = null
    private var nextExpiryAtMillis = 0L

    /** Time that written segments used up; later commits wait a little longer each to make up. */
    private var owedMillis = 0L

    /** Null until loaded. No commit may be based on it while [isStale]. */
    var records: ShardRecords? = null
        private set

    var isStale = true
        private set

    var operation: WriterOperation? = null
        private set

    var nextWriteAtMillis = 0L
        private set

    /** True when the shard is over its budget and the horizon may be raised by now. */
    fun wantsExpiry(current: ShardRecords, nowMillis: Long): Boolean =
        planner.isFull(current) && nowMillis >= nextExpiryAtMillis

    /** The horizon that a commit under way will set, if any. */
    fun horizonMillis(current: ShardRecords): Long =
        (operation as? WriterOperation.WritingHead)?.commit?.head?.horizonMillis
            ?: current.head.horizonMillis

    fun storeReplied(result: StoreResult, nowMillis: Long) {
        val current = operation ?: return
        when (result) {
            is StoreResult.ReadDone -> readDone(current, result, nowMillis)
            is StoreResult.WriteDone ->
                writeDone(current as WriterOperation.Writing, result.result, nowMillis)
        }
    }

    /** Gives up what is under way. */
    fun fail(detail: String, nowMillis: Long) {
        operation = null
        isStale = true
        discardPrepared()
        listener.failed(detail, nowMillis)
    }

    /** Writes the head, and before it a segment when the head has grown too large. */
    fun commit(current: ShardRecords, stagedBytes: Int, nowMillis: Long) {
        if (prepared == null && planner.wantsSeal(current, stagedBytes)) {
            val slot = slots.free(current.head)
            val id = "${context.writerId}.${context.nextCommitNumber().toString(RADIX)}"
            val segment = planner.segment(current, id, slot)
            if (segment != null) return writeSegment(segment, slot, nowMillis)
        }
        writeHead(current, nowMillis)
    }

    fun readHead(nowMillis: Long, afterMismatchAt: Long? = null) {
        val read = StoreCall.Read(context.nextStoreCallId(), shard, ShardNames.headKey(shard))
        operation = WriterOperation.ReadingHead(nowMillis, read.callId, afterMismatchAt)
        context.emit(LedgerEffect.CallStore(read))
    }

    private fun writeSegment(segment: PreparedSegment, slot: Int, nowMillis: Long) {
        val write =
            StoreCall.Write(
                context.nextStoreCallId(),
                shard,
                ShardNames.segmentKey(shard, slot),
                slots.expectedVersion(slot),
                segment.value,
            )
        start(WriterOperation.WritingSegment(nowMillis, write, segment), write, nowMillis)
    }

    private fun writeHead(current: ShardRecords, nowMillis: Long) {
        val staged = listener.takeStaged()
        var horizonMillis = current.head.horizonMillis
        if (nowMillis >= nextExpiryAtMillis) {
            nextExpiryAtMillis = nowMillis + limits.expiryIntervalMillis
            horizonMillis = planner.horizon(current, staged.values, nowMillis)
        }
        val commitId = CommitId(context.writerId, context.nextCommitNumber())
        val commit = planner.commit(current, commitId, staged, prepared, horizonMillis)
        val write =
            StoreCall.Write(
                context.nextStoreCallId(),
                shard,
                ShardNames.headKey(shard),
                commit.expectedVersion,
                commit.value,
            )
        start(WriterOperation.WritingHead(nowMillis, write, commit), write, nowMillis)
    }

    private fun start(next: WriterOperation, write: StoreCall.Write, nowMillis: Long) {
        operation = next
        val idleMillis = maxOf(0, nowMillis - nextWriteAtMillis)
        owedMillis = maxOf(0, owedMillis - idleMillis)
        if (next is WriterOperation.WritingSegment) {
            nextWriteAtMillis = maxOf(nowMillis, nextWriteAtMillis)
            owedMillis += limits.writeIntervalMillis
        } else {
            val shareMillis = limits.writeIntervalMillis / REPAYMENTS
            val repaidMillis = minOf(owedMillis, maxOf(shareMillis, owedMillis / MAX_OWED_SHARE))
            owedMillis -= repaidMillis
            nextWriteAtMillis =
                maxOf(nowMillis, nextWriteAtMillis) + limits.writeIntervalMillis + repaidMillis
        }
        context.emit(LedgerEffect.CallStore(write))
    }

    private fun writeDone(
        current: WriterOperation.Writing,
        result: Either<StoreFault, Long>,
        nowMillis: Long,
    ) {
        when (val fault = result.leftOrNull()) {
            null -> tookEffect(current, result.getOrNull()!!, nowMillis)
            is StoreFault.Conflict ->
                if (fault.current == null) readBack(current)
                else foundInstead(current, fault.current, nowMillis)
            is StoreFault.OutcomeUnknown -> readBack(current)
            else -> fail(fault.message, nowMillis)
        }
    }

    private fun readBack(current: WriterOperation.Writing) {
        val read = StoreCall.Read(context.nextStoreCallId(), shard, current.write.key)
        operation = current.next(current.write, current.repeats, read.callId)
        context.emit(LedgerEffect.CallStore(read))
    }

    private fun readBackDone(
        current: WriterOperation.Writing,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        val isUnchanged = (value?.version ?: 0) == current.write.expectedVersion
        if (!isUnchanged) return foundInstead(current, value, nowMillis)
        if (current.repeats >= MAX_REPEATS) {
            return fail("a write took no effect ${MAX_REPEATS + 1} times", nowMillis)
        }
        val write = current.write.copy(callId = context.nextStoreCallId())
        start(current.next(write, current.repeats + 1, null), write, nowMillis)
    }

    /** The key holds [value] in place of what the write expected: the write itself or another. */
    private fun foundInstead(
        current: WriterOperation.Writing,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        if (value != null && value.value == current.write.value) {
            return tookEffect(current, value.version, nowMillis)
        }
        operation = null
        when (current) {
            is WriterOperation.WritingSegment -> {
                slots.conflicting(current.segment.reference.slot, value?.version ?: 0)
                writeHead(records!!, nowMillis)
            }
            is WriterOperation.WritingHead -> overtaken(value, nowMillis)
        }
    }

    private fun tookEffect(current: WriterOperation.Writing, version: Long, nowMillis: Long) {
        operation = null
        when (current) {
            is WriterOperation.WritingSegment -> {
                slots.known(current.segment.reference.slot, version)
                prepared = current.segment
                writeHead(records!!, nowMillis)
            }
            is WriterOperation.WritingHead -> {
                records = records!!.after(current.commit, version)
                prepared = null
                slots.fence()
                listener.committed()
            }
        }
    }

    private fun overtaken(value: VersionedValue?, nowMillis: Long) {
        isStale = true
        discardPrepared()
        val jitterMillis = context.random.nextLong(limits.writeIntervalMillis)
        nextWriteAtMillis = maxOf(nextWriteAtMillis, nowMillis + jitterMillis)
        if (!listener.overtaken(nowMillis)) return
        if (value == null) readHead(nowMillis) else adopt(value, null, nowMillis)
    }

    private fun readDone(current: WriterOperation, result: StoreResult.ReadDone, nowMillis: Long) {
        val fault = result.result.leftOrNull()
        if (fault != null) return fail(fault.message, nowMillis)
        val value = result.result.getOrNull()
        when (current) {
            is WriterOperation.ReadingHead -> adopt(value, current.afterMismatchAt, nowMillis)
            is WriterOperation.ReadingSegments ->
                segmentRead(current, result.callId, value, nowMillis)
            is WriterOperation.Writing -> readBackDone(current, value, nowMillis)
        }
    }

    private fun adopt(value: VersionedValue?, afterMismatchAt: Long?, nowMillis: Long) {
        val old = records
        val version = value?.version ?: 0
        checkInvariant(version >= (old?.version ?: 0)) { "the head's version fell to $version" }
        checkInvariant(version != afterMismatchAt) { "a segment of head $version is missing" }
        if (old != null && version == old.version) return install(old)
        discardPrepared()
        val decoded =
            value?.let { ShardCodec.decodeHead(it.value) }
                ?: DecodedHead(ShardHead.empty(shard, limits.shardCount), emptyList())
        check(decoded.head, old?.head)
        val known = old?.segments.orEmpty()
        val reads = SegmentReads(decoded.head, version, decoded.open, known, limits.parallelReads)
        operation = WriterOperation.ReadingSegments(nowMillis, reads)
        continueReads(reads)
    }

    private fun check(head: ShardHead, old: ShardHead?) {
        checkInvariant(head.shard == shard) { "the head of shard ${head.shard} lies at $shard" }
        checkInvariant(head.shardCount == limits.shardCount) {
            "the ledger was written with ${head.shardCount} shards, not ${limits.shardCount}"
        }
        checkInvariant(old == null || head.horizonMillis >= old.horizonMillis) {
            "the horizon fell to ${head.horizonMillis}"
        }
    }

    private fun segmentRead(
        current: WriterOperation.ReadingSegments,
        callId: Long,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        val isExpected = current.reads.accept(callId, value, slots)
        if (!isExpected) return readHead(nowMillis, afterMismatchAt = current.reads.version)
        continueReads(current.reads)
    }

    private fun continueReads(reads: SegmentReads) {
        if (reads.isComplete) return install(reads.toRecords())
        reads.next(shard, context.nextStoreCallId).forEach {
            context.emit(LedgerEffect.CallStore(it))
        }
    }

    private fun install(current: ShardRecords) {
        val isChanged = current !== records
        operation = null
        isStale = false
        records = current
        listener.loaded(isChanged)
    }

    /**
     * Gives up a segment that no head refers to. A head write with an unknown outcome may refer to
     * it and still take effect, so its slot is not used again before a commit rules that out.
     */
    private fun discardPrepared() {
        val slot = prepared?.reference?.slot ?: return
        slots.conflicting(slot, slots.expectedVersion(slot))
        prepared = null
    }

    private companion object {
        const val MAX_REPEATS = 3

        /** Commits over which the time of one segment write is spread. */
        const val REPAYMENTS = 8

        /**
         * Repays faster when segments follow each other closely; else the rate would be exceeded.
         */
        const val MAX_OWED_SHARE = 4
    }
}
