package io.lavenderhinge.core.ledger

/**
 * Location of a sealed segment. An [id] is never reused; slots are, because the key-value service
 * has no delete operation.
 */
internal data class SegmentReference(
    val id: String,
    val slot: Int,
    val maxKeyTimeMillis: Long,
    val sizeBytes: Int,
) {
    /** Upper bound of the encoded size of this reference in a head. */
    val referenceBytes: Int
        get() = id.length + NUMBER_BYTES

    private companion object {
        const val NUMBER_BYTES = 32
    }
}

/**
 * Identifies one commit of one writer process. After a lost reply it shows whether the write took
 * effect.
 */
internal data class CommitId(val writerId: String, val number: Long)

/**
 * The head of a shard without its open records.
 *
 * The shard has a record of every key that was used and was created at or after [horizonMillis].
 * [segments] are in the order in which they were sealed: records of later segments override those
 * of earlier ones, and open records override all segments.
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
