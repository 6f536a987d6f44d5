package io.lavenderhinge.core.ledger

import io.lavenderhinge.core.port.VersionedValue

/**
 * Loads the segments that [head] refers to. Segments in [known] are not read; of the others at most
 * [maxParallelReads] are read at a time.
 */
internal class SegmentReads(
    val head: ShardHead,
    val version: Long,
    val open: List<LedgerRecord>,
    known: Map<String, List<LedgerRecord>>,
    private val maxParallelReads: Int,
) {
    private val segments = HashMap<String, List<LedgerRecord>>()
    private val queue = ArrayDeque<SegmentReference>()
    private val outstanding = HashMap<Long, SegmentReference>()

    init {
        for (reference in head.segments) {
            val records = known[reference.id]
            if (records == null) queue += reference else segments[reference.id] = records
        }
    }

    val isComplete: Boolean
        get() = queue.isEmpty() && outstanding.isEmpty()

    fun isWaitingFor(callId: Long): Boolean = callId in outstanding

    /** Returns the reads to issue now. */
    fun startReads(shard: Int, nextCallId: () -> Long): List<StoreCall.Read> {
        val reads = ArrayList<StoreCall.Read>()
        while (outstanding.size < maxParallelReads && queue.isNotEmpty()) {
            val reference = queue.removeFirst()
            val read =
                StoreCall.Read(nextCallId(), shard, ShardMapping.segmentKey(shard, reference.slot))
            outstanding[read.callId] = reference
            reads += read
        }
        return reads
    }

    /**
     * Adds the result of a read. Returns false if it is not the segment that the head refers to.
     */
    fun addSegment(callId: Long, value: VersionedValue?, slots: SegmentSlots): Boolean {
        val reference = outstanding.remove(callId) ?: return true
        val segment = value?.let { ShardCodec.decodeSegment(it.value) } ?: return false
        if (segment.id != reference.id) return false
        segments[reference.id] = segment.records
        slots.markReusable(reference.slot, value.version)
        return true
    }

    fun toRecords(): ShardRecords =
        ShardRecords.of(head, version, open.associate { it.key to EncodedRecord(it) }, segments)
}
