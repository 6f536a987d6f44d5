package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.port.CacheEvent
import kotlin.math.pow

/**
 * Prompt prefixes that one backend server probably has in its cache, at most [capacity] hashes.
 *
 * Dispatches add hashes at once; cache events correct them late. A gap in the events lowers the
 * confidence in everything known before it, since an eviction may have been lost.
 */
internal class PrefixCacheEstimate(private val capacity: Int = DEFAULT_CAPACITY) {
    private val sequenceGapsByHash = LinkedHashMap<Long, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var sequenceGaps = 0
    private var nextSequence: Long? = null

    val size: Int
        get() = sequenceGapsByHash.size

    /** Records that a prompt with these [prefixHashes] is dispatched. */
    fun recordDispatch(prefixHashes: List<Long>) {
        // Longest first: the shortest prefixes are shared most and must be evicted last.
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

    /** Expected tokens of the prompt in the cache. */
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
        /** 8,192 blocks of 64 tokens are half a million tokens, about 0.7 MB of memory. */
        const val DEFAULT_CAPACITY = 8_192
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val GAP_CONFIDENCE = 0.8
    }
}
