package io.lavenderhinge.core.ledger

/** Composes commits: which records fit, what is sealed and how far the horizon rises. */
internal class CommitPlanner(private val limits: LedgerLimits) {
    /** True when the head should be sealed before [addedBytes] more are written to it. */
    fun needsSeal(records: ShardRecords, addedBytes: Int): Boolean =
        records.openBytes + addedBytes > limits.sealThresholdBytes

    /** True when a head with [recordBytes] bytes of records stays within the value limit. */
    fun fitsHead(records: ShardRecords, recordBytes: Int): Boolean =
        recordBytes + headOverheadBytes(records.head) <= limits.maxValueBytes

    /**
     * Composes a segment of open records that fits a value. Settled records go first; intents stay
     * in the head, where their completion replaces them, unless they alone fill it.
     *
     * While the latest segment has room, the new one takes its place: many small segments would
     * fill the head with references.
     */
    fun planSegment(records: ShardRecords, id: String, slot: Int): PreparedSegment? {
        val settled = records.open.values.filter { it.record.state != RecordState.Intent }
        val settledBytes = settled.sumOf { it.line.length }
        val chosen = if (settledBytes * 2 >= records.openBytes) settled else records.open.values
        var bytes = id.length + SEGMENT_HEADER_BYTES
        val sealed =
            chosen.takeWhile { candidate ->
                bytes += candidate.line.length
                bytes <= limits.maxValueBytes
            }
        if (sealed.isEmpty()) return null
        val extended =
            records.head.segments.lastOrNull()?.takeIf {
                it.sizeBytes + bytes <= limits.maxValueBytes
            }
        val lines = LinkedHashMap<String, EncodedRecord>()
        extended?.let { last ->
            records.segments.getValue(last.id).forEach { lines[it.key] = EncodedRecord(it) }
        }
        sealed.forEach { lines[it.record.key] = it }
        val value = ShardCodec.encodeSegment(id, lines.values.map { it.line })
        val maxKeyTime = lines.values.maxOf { it.record.keyTimeMillis }
        val reference = SegmentReference(id, slot, maxKeyTime, value.length)
        return PreparedSegment(reference, lines.values.map { it.record }, value, extended)
    }

    /** Composes the commit of [staged] on top of [records]. */
    fun planCommit(
        records: ShardRecords,
        commitId: CommitId,
        staged: Map<String, EncodedRecord>,
        prepared: PreparedSegment?,
        horizonMillis: Long,
    ): Commit {
        checkInvariant(horizonMillis >= records.head.horizonMillis) { "the horizon would fall" }
        val open = LinkedHashMap(records.open)
        prepared?.records?.forEach { sealed ->
            if (open[sealed.key]?.record === sealed) open.remove(sealed.key)
        }
        open.putAll(staged)
        open.values.removeIf { it.record.keyTimeMillis < horizonMillis }
        val segments =
            (records.head.segments + listOfNotNull(prepared?.reference)).filter {
                it != prepared?.replaces && it.maxKeyTimeMillis >= horizonMillis
            }
        val added = prepared?.takeIf { it.reference in segments }
        val head =
            records.head.copy(
                commitId = commitId,
                shardCount = limits.shardCount,
                horizonMillis = horizonMillis,
                segments = segments,
            )
        val commit = Commit(records.version, head, open, added)
        checkInvariant(commit.value.length <= limits.maxValueBytes) {
            "a head of ${commit.value.length} bytes is over ${limits.maxValueBytes}"
        }
        checkInvariant(staged.values.all { it.record.keyTimeMillis >= horizonMillis }) {
            "a record before the horizon would be lost by the commit that writes it"
        }
        return commit
    }

    /**
     * The highest horizon that drops only expired records, or more when the shard is over its size
     * budget. Creation times of records bound it, so a wrong clock cannot push it past the keys
     * seen.
     */
    fun planHorizon(
        records: ShardRecords,
        staged: Collection<EncodedRecord>,
        nowMillis: Long,
    ): Long {
        val old = records.head.horizonMillis
        val oldestStaged = staged.minOfOrNull { it.record.keyTimeMillis } ?: Long.MAX_VALUE
        var oldestKept = oldestStaged
        var newestExpired = Long.MIN_VALUE
        for (record in records.all()) {
            if (record.expiresAtMillis > nowMillis) {
                oldestKept = minOf(oldestKept, record.keyTimeMillis)
            } else {
                newestExpired = maxOf(newestExpired, record.keyTimeMillis)
            }
        }
        val byRetention = if (newestExpired < old) old else minOf(oldestKept, newestExpired + 1)
        val byBudget = minOf(budgetHorizon(records, nowMillis), oldestStaged)
        return maxOf(old, byRetention, byBudget)
    }

    /** True when the shard is over its budget and only young keys are left to drop. */
    fun isFull(records: ShardRecords): Boolean =
        records.sizeBytes >
            limits.shardBudgetBytes + limits.shardBudgetBytes / BUDGET_SLACK_DIVISOR ||
            records.head.referenceBytes >
                limits.maxReferenceBytes + limits.maxReferenceBytes / BUDGET_SLACK_DIVISOR

    private fun budgetHorizon(records: ShardRecords, nowMillis: Long): Long {
        var excessBytes = records.sizeBytes - limits.shardBudgetBytes
        var excessReferenceBytes = records.head.referenceBytes - limits.maxReferenceBytes
        var horizon = Long.MIN_VALUE
        for (segment in records.head.segments.sortedBy { it.maxKeyTimeMillis }) {
            if (excessBytes <= 0 && excessReferenceBytes <= 0) break
            excessBytes -= segment.sizeBytes
            excessReferenceBytes -= segment.referenceBytes
            horizon = segment.maxKeyTimeMillis + 1
        }
        if (horizon == Long.MIN_VALUE) return horizon
        val currentTimeMillis = maxOf(nowMillis, medianKeyTimeMillis(records))
        return minOf(horizon, currentTimeMillis - limits.minRetentionMillis)
    }

    /**
     * Median creation time of the open records. It stands in for the present when this instance's
     * clock is behind: by that clock all keys would be too young to drop and the shard stay full.
     */
    private fun medianKeyTimeMillis(records: ShardRecords): Long {
        val times = records.open.values.map { it.record.keyTimeMillis }.sorted()
        return if (times.isEmpty()) Long.MIN_VALUE else times[times.size / 2]
    }

    private fun headOverheadBytes(head: ShardHead): Int =
        HEAD_HEADER_BYTES + head.referenceBytes + REFERENCE_BYTES

    private companion object {
        /** Bounds of the encoded header lines and of one more reference. */
        const val HEAD_HEADER_BYTES = 256
        const val SEGMENT_HEADER_BYTES = 32
        const val REFERENCE_BYTES = 128

        /** The horizon can trail the budget by the minimum retention before keys are refused. */
        const val BUDGET_SLACK_DIVISOR = 8
    }
}
