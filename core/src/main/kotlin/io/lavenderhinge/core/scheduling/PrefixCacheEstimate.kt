package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.port.CacheEvent
import kotlin.math.pow

/**
 * Estimates which prompt prefixes are in the cache of one backend server. Holds at most [capacity]
 * hashes.
 *
 * Dispatches add hashes immediately; cache events correct them with a delay. A gap in the event
 * sequence lowers the confidence in all earlier entries, since an eviction may have been lost.
 */
internal class PrefixCacheEstimate(private val capacity: Int = DEFAULT_CAPACITY) {
    private val sequenceGapsByHash = LinkedHashMap<Long, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var sequenceGaps = 0
    private var nextSequence: Long? = null

    val size: Int
        get() = sequenceGapsByHash.size

    /** Records the dispatch of a prompt with [prefixHashes]. */
    fun recordDispatch(prefixHashes: List<Long>) {
        // Longest first, so that the shortest and most widely shared prefixes are evicted last.
        for (index in prefixHashes.indices.reversed()) add(prefixHashes[index])
    }

    fun applyCacheEvents(events: List<CacheEvent>) {
        for (event in events) {
            val expected = nextSequence
            if (expected != null && event.sequence > expected) sequenceGaps++
            if (expected == null || event.sequence >= expected) nextSequence = event.sequence + 1
            if (event.stored) add(event.prefixHash) else sequenceGapsByHash.remove(event.prefixHash)
        }
    }

    /** Expected number of prompt tokens in the cache. */
    fun expectedTokens(prefixHashes: List<Long>): Int {
        for (index in prefixHashes.indices.reversed()) {
            val gap = sequenceGapsByHash[prefixHashes[index]] ?: continue
            return (PrefixHashSampling.coveredTokens(index) *
                    GAP_CONFIDENCE.pow(sequenceGaps - gap))
                .toInt()
        }
        return 0
    }

    private fun add(hash: Long) {
        sequenceGapsByHash[hash] = sequenceGaps
        if (sequenceGapsByHash.size <= capacity) return
        val oldest = sequenceGapsByHash.entries.iterator()
        oldest.next()
        oldest.remove()
    }

    private companion object {
        /** 8,192 blocks of 64 tokens cover half a million tokens and take about 0.7 MB. */
        const val DEFAULT_CAPACITY = 8_192
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val GAP_CONFIDENCE = 0.8
    }
}
