package io.lavenderhinge.core.ledger

/**
 * The committed records of one shard, as stored in the head of [version] and its segments.
 *
 * [open] holds the records of the head, [segments] the records of each sealed segment by its id.
 */
internal class ShardRecords(
    val head: ShardHead,
    val version: Long,
    val open: Map<String, EncodedRecord>,
    val segments: Map<String, List<LedgerRecord>>,
    private val sealedByKey: HashMap<String, LedgerRecord>,
) {
    fun find(key: String): LedgerRecord? = open[key]?.record ?: sealedByKey[key]

    val openBytes: Int = open.values.sumOf { it.line.length }

    val sizeBytes: Long = openBytes + head.segments.sumOf { it.sizeBytes.toLong() }

    /** The current record of each key, without records that a later one overrides. */
    fun currentRecords(): Sequence<LedgerRecord> =
        open.values.asSequence().map { it.record } +
            sealedByKey.values.asSequence().filter { it.key !in open }

    /**
     * The records after [commit] took effect as [newVersion]. The receiver must not be used
     * afterwards, because both may share mutable state.
     */
    fun withCommit(commit: Commit, newVersion: Long): ShardRecords {
        checkInvariant(commit.expectedVersion == version && newVersion > version) {
            "commit on version ${commit.expectedVersion} took effect as $newVersion after $version"
        }
        if (commit.addedSegment == null && commit.head.segments.size == head.segments.size) {
            return ShardRecords(commit.head, newVersion, commit.open, segments, sealedByKey)
        }
        val kept =
            commit.head.segments.associate { it.id to commit.segmentRecords(it.id, segments) }
        val replaced = commit.addedSegment?.replaces?.id
        val nothingDropped = segments.keys.all { it in kept || it == replaced }
        if (!nothingDropped) return of(commit.head, newVersion, commit.open, kept)
        commit.addedSegment?.records?.forEach { sealedByKey[it.key] = it }
        return ShardRecords(commit.head, newVersion, commit.open, kept, sealedByKey)
    }

    companion object {
        fun of(
            head: ShardHead,
            version: Long,
            open: Map<String, EncodedRecord>,
            segments: Map<String, List<LedgerRecord>>,
        ): ShardRecords {
            val sealedByKey = HashMap<String, LedgerRecord>()
            for (reference in head.segments) {
                segments.getValue(reference.id).forEach { sealedByKey[it.key] = it }
            }
            return ShardRecords(head, version, open, segments, sealedByKey)
        }
    }
}

/** A segment that no head refers to yet. */
internal class PreparedSegment(
    val reference: SegmentReference,
    val records: List<LedgerRecord>,
    val value: String,
    /** The segment that this one replaces and whose records it includes, if any. */
    val replaces: SegmentReference?,
)

/**
 * One write of the head: [head] with the records [open]. [addedSegment] is the segment that this
 * head is the first to refer to, if any.
 */
internal class Commit(
    val expectedVersion: Long,
    val head: ShardHead,
    val open: Map<String, EncodedRecord>,
    val addedSegment: PreparedSegment?,
) {
    val value: String = ShardCodec.encodeHead(head, open.values.map { it.line })

    fun segmentRecords(id: String, known: Map<String, List<LedgerRecord>>): List<LedgerRecord> =
        addedSegment?.takeIf { it.reference.id == id }?.records ?: known.getValue(id)
}
