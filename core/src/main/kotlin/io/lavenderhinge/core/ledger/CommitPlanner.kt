package io.lavenderhinge.core.ledger

/** Plans commits: which records fit, which are sealed and how far the horizon is raised. */
internal class CommitPlanner(private val limits: LedgerLimits) {
    /** True if records should be sealed before [addedBytes] more are written to the head. */
    fun needsSeal(records: ShardRecords, addedBytes: Int): Boolean =
        records.openBytes + addedBytes > limits.sealThresholdBytes

    /** True if a head with [recordBytes] bytes of records stays within the value size limit. */
    fun fitsHead(records: ShardRecords, recordBytes: Int): Boolean =
        recordBytes + headOverheadBytes(records.head) <= limits.maxValueBytes

    /**
     * Builds a segment of open records that fits in a value, or returns null if no record fits.
     * Intents stay in the head, where their completion will replace them, unless they make up more
     * than half of it.
     *
     * The new segment includes and replaces the latest one if both fit in a value. Otherwise many
     * small segments would fill the head with references.
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

    /** Builds the commit that applies [staged] to [records]. */
    fun planCommit(
        records: ShardRecords,
        commitId: CommitId,
        staged: Map<String, EncodedRecord>,
        prepared: PreparedSegment?,
        horizonMillis: Long,
    ): Commit {
        checkInvariant(horizonMillis >= records.head.horizonMillis) {
            "the horizon would move backwards"
        }
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
     * The highest horizon that drops only expired records, or a higher one if the shard is over its
     * size budget. It is bounded by the creation times of records, so a wrong clock cannot raise it
     * past the keys already recorded.
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
        for (record in records.currentRecords()) {
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

    /**
     * True if the shard exceeds its budget by so much that new keys must be rejected. This happens
     * when the remaining keys are below the minimum retention.
     */
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
     * Median creation time of the open records. It replaces the current time when this instance's
     * clock is behind; by that clock all keys would be too young to drop and the shard would stay
     * full.
     */
    private fun medianKeyTimeMillis(records: ShardRecords): Long {
        val times = records.open.values.map { it.record.keyTimeMillis }.sorted()
        return if (times.isEmpty()) Long.MIN_VALUE else times[times.size / 2]
    }

    private fun headOverheadBytes(head: ShardHead): Int =
        HEAD_HEADER_BYTES + head.referenceBytes + REFERENCE_BYTES

    private companion object {
        /** Upper bounds of the encoded header lines and of one additional reference. */
        const val HEAD_HEADER_BYTES = 256
        const val SEGMENT_HEADER_BYTES = 32
        const val REFERENCE_BYTES = 128

        /**
         * Allows a shard to exceed its budget by one part in this number before keys are rejected,
         * because the minimum retention delays the horizon.
         */
        const val BUDGET_SLACK_DIVISOR = 8
    }
}
