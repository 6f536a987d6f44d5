package io.lavenderhinge.core.ledger

/**
 * Where a sealed segment lies. [id] is unique for all time; slots are used again, since the
 * platform has no delete.
 */
internal data class SegmentReference(
    val id: String,
    val slot: Int,
    val maxKeyTimeMillis: Long,
    val sizeBytes: Int,
) {
    /** Upper bound of what this reference takes in the head. */
    val referenceBytes: Int
        get() = id.length + NUMBER_BYTES

    private companion object {
        const val NUMBER_BYTES = 32
    }
}

/** Names one commit of one writer process; tells a writer whether a lost write took effect. */
internal data class CommitId(val writerId: String, val number: Long)

/**
 * The head value of a shard without its open records.
 *
 * The shard holds every key created at or after [horizonMillis]. [segments] are in the order in
 * which they were sealed: later ones override earlier ones, and open records override all.
 */
internal data class ShardHead(
    val commitId: CommitId,
    val shardCount: Int,
    val shard: Int,
    val horizonMillis: Long,
    val segments: List<SegmentReference>,
) {
    val referenceBytes: Int = segments.sumOf { it.referenceBytes }

    companion object {
        fun empty(shard: Int, shardCount: Int) =
            ShardHead(CommitId("none", 0), shardCount, shard, 0, emptyList())
    }
}
