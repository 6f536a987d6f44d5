package io.lavenderhinge.core.ledger

import io.lavenderhinge.core.membership.RendezvousHash

/** Names of shards, their keys in the key-value service, and their writers. */
object ShardNames {
    /** The shard that holds [recordName]. */
    fun shardOf(recordName: String, shardCount: Int): Int =
        (RendezvousHash.hash64(recordName) % shardCount.toULong()).toInt()

    /** The instance that writes [shard]; null when no instance is live. */
    fun writerOf(shard: Int, liveInstanceIds: List<String>): String? =
        RendezvousHash.highest("ledger-shard-$shard", liveInstanceIds)

    fun headKey(shard: Int): String = "ledger/$shard/head"

    fun segmentKey(shard: Int, slot: Int): String = "ledger/$shard/segment/$slot"
}
