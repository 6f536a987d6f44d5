package io.lavenderhinge.core.ledger

import io.lavenderhinge.core.membership.RendezvousHash

/** Maps records to shards, and shards to their keys in the key-value service and their writers. */
object ShardMapping {
    /** The shard of [recordName]. */
    fun shardOf(recordName: String, shardCount: Int): Int =
        (RendezvousHash.hash64(recordName) % shardCount.toULong()).toInt()

    /** The instance that writes [shard]; null if no instance is live. */
    fun writerOf(shard: Int, liveInstanceIds: List<String>): String? =
        RendezvousHash.highest("ledger-shard-$shard", liveInstanceIds)

    fun headKey(shard: Int): String = "ledger/$shard/head"

    fun segmentKey(shard: Int, slot: Int): String = "ledger/$shard/segment/$slot"
}
