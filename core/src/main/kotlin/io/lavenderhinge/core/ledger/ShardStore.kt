package io.lavenderhinge.core.ledger

import arrow.core.Either
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue

/** Receives the results of the store operations of a shard. */
internal interface ShardStoreListener {
    /** Called before the head is written. Returns the records to include in it. */
    fun takeStaged(): Map<String, EncodedRecord>

    /** The records returned by the last [takeStaged] are in the store. */
    fun onCommitted()

    /** Another writer has committed. Returns false if the shard should not be reloaded. */
    fun onConflict(nowMillis: Long): Boolean

    /** The records match the store. [isChanged] is true if they differ from the previous ones. */
    fun onLoaded(isChanged: Boolean)

    /** The store operation failed; a write may or may not have taken effect. */
    fun onFailure(detail: String, nowMillis: Long)
}

/**
 * Loads and commits the records of one shard, one store operation at a time.
 *
 * A commit is a compare-and-swap of the head. If the reply is lost, the head is read back. Its
 * content includes the commit id and so shows whether the write took effect. If not, the same write
 * is retried with the same expected version, so it takes effect at most once.
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

    /** Write interval time owed for segment writes. Later commits are delayed to make up for it. */
    private var writeDeficitMillis = 0L

    /** Null until loaded. Must not be the base of a commit while [isStale]. */
    var records: ShardRecords? = null
        private set

    var isStale = true
        private set

    var operation: WriterOperation? = null
        private set

    var nextWriteAtMillis = 0L
        private set

    /** True when the shard is full and the interval between horizon updates has elapsed. */
    fun isExpiryDue(current: ShardRecords, nowMillis: Long): Boolean =
        planner.isFull(current) && nowMillis >= nextExpiryAtMillis

    /** The horizon after the commit under way, or the committed one if there is no such commit. */
    fun horizonMillis(current: ShardRecords): Long =
        (operation as? WriterOperation.WritingHead)?.commit?.head?.horizonMillis
            ?: current.head.horizonMillis

    fun onStoreResult(result: StoreResult, nowMillis: Long) {
        val current = operation ?: return
        when (result) {
            is StoreResult.ReadDone -> onReadDone(current, result, nowMillis)
            is StoreResult.WriteDone ->
                onWriteDone(current as WriterOperation.Writing, result.result, nowMillis)
        }
    }

    /** Abandons the operation under way and reports a failure to the listener. */
    fun fail(detail: String, nowMillis: Long) {
        operation = null
        isStale = true
        discardPrepared()
        listener.onFailure(detail, nowMillis)
    }

    /** Writes the head, preceded by a segment if the head has grown too large. */
    fun commit(current: ShardRecords, stagedBytes: Int, nowMillis: Long) {
        if (prepared == null && planner.needsSeal(current, stagedBytes)) {
            val slot = slots.findFree(current.head)
            val id = "${context.writerId}.${context.nextCommitNumber().toString(RADIX)}"
            val segment = planner.planSegment(current, id, slot)
            if (segment != null) return writeSegment(segment, slot, nowMillis)
        }
        writeHead(current, nowMillis)
    }

    fun readHead(nowMillis: Long, mismatchedVersion: Long? = null) {
        val read = StoreCall.Read(context.nextStoreCallId(), shard, ShardMapping.headKey(shard))
        operation = WriterOperation.ReadingHead(nowMillis, read.callId, mismatchedVersion)
        context.emit(LedgerEffect.CallStore(read))
    }

    private fun writeSegment(segment: PreparedSegment, slot: Int, nowMillis: Long) {
        val write =
            StoreCall.Write(
                context.nextStoreCallId(),
                shard,
                ShardMapping.segmentKey(shard, slot),
                slots.expectedVersion(slot),
                segment.value,
            )
        startWrite(WriterOperation.WritingSegment(nowMillis, write, segment), write, nowMillis)
    }

    private fun writeHead(current: ShardRecords, nowMillis: Long) {
        val staged = listener.takeStaged()
        var horizonMillis = current.head.horizonMillis
        if (nowMillis >= nextExpiryAtMillis) {
            nextExpiryAtMillis = nowMillis + limits.expiryIntervalMillis
            horizonMillis = planner.planHorizon(current, staged.values, nowMillis)
        }
        val commitId = CommitId(context.writerId, context.nextCommitNumber())
        val commit = planner.planCommit(current, commitId, staged, prepared, horizonMillis)
        val write =
            StoreCall.Write(
                context.nextStoreCallId(),
                shard,
                ShardMapping.headKey(shard),
                commit.expectedVersion,
                commit.value,
            )
        startWrite(WriterOperation.WritingHead(nowMillis, write, commit), write, nowMillis)
    }

    private fun startWrite(next: WriterOperation, write: StoreCall.Write, nowMillis: Long) {
        operation = next
        val idleMillis = maxOf(0, nowMillis - nextWriteAtMillis)
        writeDeficitMillis = maxOf(0, writeDeficitMillis - idleMillis)
        if (next is WriterOperation.WritingSegment) {
            nextWriteAtMillis = maxOf(nowMillis, nextWriteAtMillis)
            writeDeficitMillis += limits.writeIntervalMillis
        } else {
            val shareMillis = limits.writeIntervalMillis / DEFICIT_COMMITS
            val repaidMillis =
                minOf(writeDeficitMillis, maxOf(shareMillis, writeDeficitMillis / DEFICIT_DIVISOR))
            writeDeficitMillis -= repaidMillis
            nextWriteAtMillis =
                maxOf(nowMillis, nextWriteAtMillis) + limits.writeIntervalMillis + repaidMillis
        }
        context.emit(LedgerEffect.CallStore(write))
    }

    private fun onWriteDone(
        current: WriterOperation.Writing,
        result: Either<StoreFault, Long>,
        nowMillis: Long,
    ) {
        when (val fault = result.leftOrNull()) {
            null -> onWriteApplied(current, result.getOrNull()!!, nowMillis)
            is StoreFault.Conflict ->
                if (fault.current == null) readBack(current)
                else onUnexpectedValue(current, fault.current, nowMillis)
            is StoreFault.OutcomeUnknown -> readBack(current)
            else -> fail(fault.message, nowMillis)
        }
    }

    private fun readBack(current: WriterOperation.Writing) {
        val read = StoreCall.Read(context.nextStoreCallId(), shard, current.write.key)
        operation = current.withCall(current.write, current.retries, read.callId)
        context.emit(LedgerEffect.CallStore(read))
    }

    private fun onReadBackDone(
        current: WriterOperation.Writing,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        val isUnchanged = (value?.version ?: 0) == current.write.expectedVersion
        if (!isUnchanged) return onUnexpectedValue(current, value, nowMillis)
        if (current.retries >= MAX_RETRIES) {
            return fail("a write took no effect ${MAX_RETRIES + 1} times", nowMillis)
        }
        val write = current.write.copy(callId = context.nextStoreCallId())
        startWrite(current.withCall(write, current.retries + 1, null), write, nowMillis)
    }

    /**
     * Handles a version other than the expected one: [value] is either the result of this write,
     * whose reply was lost, or the write of another instance.
     */
    private fun onUnexpectedValue(
        current: WriterOperation.Writing,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        if (value != null && value.value == current.write.value) {
            return onWriteApplied(current, value.version, nowMillis)
        }
        operation = null
        when (current) {
            is WriterOperation.WritingSegment -> {
                slots.markConflicting(current.segment.reference.slot, value?.version ?: 0)
                writeHead(records!!, nowMillis)
            }
            is WriterOperation.WritingHead -> onConflict(value, nowMillis)
        }
    }

    private fun onWriteApplied(current: WriterOperation.Writing, version: Long, nowMillis: Long) {
        operation = null
        when (current) {
            is WriterOperation.WritingSegment -> {
                slots.markReusable(current.segment.reference.slot, version)
                prepared = current.segment
                writeHead(records!!, nowMillis)
            }
            is WriterOperation.WritingHead -> {
                records = records!!.withCommit(current.commit, version)
                prepared = null
                slots.fence()
                listener.onCommitted()
            }
        }
    }

    private fun onConflict(value: VersionedValue?, nowMillis: Long) {
        isStale = true
        discardPrepared()
        val jitterMillis = context.random.nextLong(limits.writeIntervalMillis)
        nextWriteAtMillis = maxOf(nextWriteAtMillis, nowMillis + jitterMillis)
        if (!listener.onConflict(nowMillis)) return
        if (value == null) readHead(nowMillis) else loadHead(value, null, nowMillis)
    }

    private fun onReadDone(
        current: WriterOperation,
        result: StoreResult.ReadDone,
        nowMillis: Long,
    ) {
        val fault = result.result.leftOrNull()
        if (fault != null) return fail(fault.message, nowMillis)
        val value = result.result.getOrNull()
        when (current) {
            is WriterOperation.ReadingHead -> loadHead(value, current.mismatchedVersion, nowMillis)
            is WriterOperation.ReadingSegments ->
                onSegmentRead(current, result.callId, value, nowMillis)
            is WriterOperation.Writing -> onReadBackDone(current, value, nowMillis)
        }
    }

    private fun loadHead(value: VersionedValue?, mismatchedVersion: Long?, nowMillis: Long) {
        val old = records
        val version = value?.version ?: 0
        checkInvariant(version >= (old?.version ?: 0)) {
            "the version of the head went backwards to $version"
        }
        checkInvariant(version != mismatchedVersion) { "a segment of head $version is missing" }
        if (old != null && version == old.version) return installRecords(old)
        discardPrepared()
        val decoded =
            value?.let { ShardCodec.decodeHead(it.value) }
                ?: DecodedHead(ShardHead.empty(shard, limits.shardCount), emptyList())
        validateHead(decoded.head, old?.head)
        val known = old?.segments.orEmpty()
        val reads =
            SegmentReads(decoded.head, version, decoded.open, known, limits.maxParallelReads)
        operation = WriterOperation.ReadingSegments(nowMillis, reads)
        readNextSegments(reads)
    }

    private fun validateHead(head: ShardHead, old: ShardHead?) {
        checkInvariant(head.shard == shard) {
            "the head of shard ${head.shard} is stored under the key of shard $shard"
        }
        checkInvariant(head.shardCount == limits.shardCount) {
            "the ledger was written with ${head.shardCount} shards, not ${limits.shardCount}"
        }
        checkInvariant(old == null || head.horizonMillis >= old.horizonMillis) {
            "the horizon moved backwards to ${head.horizonMillis}"
        }
    }

    private fun onSegmentRead(
        current: WriterOperation.ReadingSegments,
        callId: Long,
        value: VersionedValue?,
        nowMillis: Long,
    ) {
        val isExpected = current.reads.addSegment(callId, value, slots)
        if (!isExpected) return readHead(nowMillis, mismatchedVersion = current.reads.version)
        readNextSegments(current.reads)
    }

    private fun readNextSegments(reads: SegmentReads) {
        if (reads.isComplete) return installRecords(reads.toRecords())
        reads.startReads(shard, context.nextStoreCallId).forEach {
            context.emit(LedgerEffect.CallStore(it))
        }
    }

    private fun installRecords(current: ShardRecords) {
        val isChanged = current !== records
        operation = null
        isStale = false
        records = current
        listener.onLoaded(isChanged)
    }

    /**
     * Discards a segment that no known head refers to. A head write with an unknown outcome may
     * refer to it and still take effect, so its slot is not reused until a later commit rules that
     * out.
     */
    private fun discardPrepared() {
        val slot = prepared?.reference?.slot ?: return
        slots.markConflicting(slot, slots.expectedVersion(slot))
        prepared = null
    }

    private companion object {
        const val MAX_RETRIES = 3

        /** Number of commits over which the interval of one segment write is spread. */
        const val DEFICIT_COMMITS = 8

        /**
         * At least one part in this number of the deficit is repaid per commit. Otherwise the write
         * rate would exceed its limit when segments are written in quick succession.
         */
        const val DEFICIT_DIVISOR = 4
    }
}
