package io.lavenderhinge.core.routing

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.scheduling.PrefixHashSampling
import kotlin.math.pow

/**
 * Estimates which backend servers have which prompt prefixes in their cache, from the view of one
 * entry. Holds at most [capacity] hashes across all servers and evicts the least recently used.
 */
internal class PrefixIndex(capacity: Int = DEFAULT_CAPACITY) {
    /** Backend servers per prefix hash, with the server's gap count at the last confirmation. */
    private val serversByHash = LruMap<Long, HashMap<String, Int>>(capacity)
    private val sequenceGaps = HashMap<String, Int>()
    private val nextSequence = HashMap<String, Long>()

    val size: Int
        get() = serversByHash.size

    /** Records the dispatch of a prompt with [prefixHashes] to [serverId]. */
    fun recordDispatch(serverId: String, prefixHashes: List<Long>) {
        // Longest first, so that the shortest and most widely shared prefix is evicted last.
        for (hash in prefixHashes.asReversed()) add(serverId, hash)
    }

    /**
     * Applies the estimate of the home of [serverId] that [cachedTokens] of the prompt are cached.
     */
    fun correct(serverId: String, prefixHashes: List<Long>, cachedTokens: Int) {
        for (index in prefixHashes.indices.reversed()) {
            if (PrefixHashSampling.coveredTokens(index) > cachedTokens)
                remove(serverId, prefixHashes[index])
            else add(serverId, prefixHashes[index])
        }
    }

    /** Applies cache events of [serverId]. A gap in their sequence lowers the confidence. */
    fun applyCacheEvents(serverId: String, events: List<CacheEvent>) {
        for (event in events) {
            val expected = nextSequence[serverId]
            if (expected != null && event.sequence > expected)
                sequenceGaps.merge(serverId, 1, Int::plus)
            nextSequence[serverId] = maxOf(expected ?: 0, event.sequence + 1)
            if (event.stored) add(serverId, event.prefixHash)
            else remove(serverId, event.prefixHash)
        }
    }

    /** Expected number of cached prompt tokens for each backend server that has any. */
    fun expectedTokens(prefixHashes: List<Long>): Map<String, Int> {
        val found = HashMap<String, Int>()
        for (index in prefixHashes.indices.reversed()) {
            val servers = serversByHash[prefixHashes[index]] ?: continue
            val tokens = PrefixHashSampling.coveredTokens(index)
            for ((serverId, gap) in servers) {
                found.getOrPut(serverId) { (tokens * confidence(serverId, gap)).toInt() }
            }
        }
        return found
    }

    /** Drops the event state of backend servers that are not in [serverIds]. */
    fun retain(serverIds: Set<String>) {
        sequenceGaps.keys.retainAll(serverIds)
        nextSequence.keys.retainAll(serverIds)
    }

    private fun confidence(serverId: String, gap: Int) =
        GAP_CONFIDENCE.pow((sequenceGaps[serverId] ?: 0) - gap)

    private fun add(serverId: String, hash: Long) {
        serversByHash.getOrPut(hash) { HashMap(SERVERS_PER_HASH) }[serverId] =
            sequenceGaps[serverId] ?: 0
    }

    private fun remove(serverId: String, hash: Long) {
        val servers = serversByHash[hash] ?: return
        servers.remove(serverId)
        if (servers.isEmpty()) serversByHash.remove(hash)
    }

    private companion object {
        const val DEFAULT_CAPACITY = 32_768
        const val GAP_CONFIDENCE = 0.8
        const val SERVERS_PER_HASH = 4
    }
}
