package io.lavenderhinge.core.ledger

/**
 * The committed records of one shard: exactly what the head of [version] and its segments say.
 *
 * [open] holds the records of the head, [segments] the sealed ones by segment id.
 */
internal class ShardRecords(
    val head: ShardHead,
    val version: Long,
    val open: Map<String, EncodedRecord>,
    val segments: Map<String, List<LedgerRecord>>,
    private val sealed: HashMap<String, LedgerRecord>,
) {
    fun find(key: String): LedgerRecord? = open[key]?.record ?: sealed[key]

    val openBytes: Int = open.values.sumOf { it.line.length }

    val sizeBytes: Long = openBytes + head.segments.sumOf { it.sizeBytes.toLong() }

    /** Every current record; a record that a later one overrides is left out. */
    fun all(): Sequence<LedgerRecord> =
        open.values.asSequence().map { it.record } +
            sealed.values.asSequence().filter { it.key !in open }

    /** The state after [commit] took effect as [newVersion]. Must not be used with the old one. */
    fun withCommit(commit: Commit, newVersion: Long): ShardRecords {
        checkInvariant(commit.expectedVersion == version && newVersion > version) {
            "commit on version ${commit.expectedVersion} took effect as $newVersion after $version"
        }
        if (commit.addedSegment == null && commit.head.segments.size == head.segments.size) {
            return ShardRecords(commit.head, newVersion, commit.open, segments, sealed)
        }
        val kept =
            commit.head.segments.associate { it.id to commit.segmentRecords(it.id, segments) }
        val replaced = commit.addedSegment?.replaces?.id
        val nothingDropped = segments.keys.all { it in kept || it == replaced }
        if (!nothingDropped) return of(commit.head, newVersion, commit.open, kept)
        commit.addedSegment?.records?.forEach { sealed[it.key] = it }
        return ShardRecords(commit.head, newVersion, commit.open, kept, sealed)
    }

    companion object {
        fun of(
            head: ShardHead,
            version: Long,
            open: Map<String, EncodedRecord>,
            segments: Map<String, List<LedgerRecord>>,
        ): ShardRecords {
            val sealed = HashMap<String, LedgerRecord>()
            for (reference in head.segments) {
                segments.getValue(reference.id).forEach { sealed[it.key] = it }
            }
            return ShardRecords(head, version, open, segments, sealed)
        }
    }
}

/** A segment written to the store that no head refers to yet. */
internal class PreparedSegment(
    val reference: SegmentReference,
    val records: List<LedgerRecord>,
    val value: String,
    /** The segment whose records this one contains and whose place it takes, if any. */
    val replaces: SegmentReference?,
)

/**
 * One write of the head: [head] with the records [open], and [addedSegment] if it refers to a new
 * one.
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
