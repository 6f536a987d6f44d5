package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS

/** Prefix cache of an engine with blocks of [PREFIX_BLOCK_TOKENS] tokens and LRU eviction. */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / PREFIX_BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private var pendingEvents = mutableListOf<CacheEvent>()
    private var nextSequence = 1L

    /** Length in tokens of the longest cached prefix. Does not update the LRU order. */
    fun cachedTokens(prefixHashes: List<Long>): Int =
        prefixHashes.takeWhile(blocks::containsKey).size * PREFIX_BLOCK_TOKENS

    /**
     * Stores the missing blocks of a prompt and marks all its blocks as most recently used. The
     * last block is touched first, so that the tail is evicted before the head that prompts share.
     */
    fun store(prefixHashes: List<Long>) {
        for (hash in prefixHashes.asReversed()) {
            if (blocks.get(hash) != null) continue
            blocks[hash] = Unit
            addEvent(hash, stored = true)
        }
        while (blocks.size > capacityBlocks) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            addEvent(eldest, stored = false)
        }
    }

    /** Removes all blocks and pending events, as a restart does; event numbers continue. */
    fun clear() {
        blocks.clear()
        pendingEvents = mutableListOf()
    }

    /** Returns and clears the events since the last call. */
    fun takeEvents(): List<CacheEvent> = pendingEvents.also { pendingEvents = mutableListOf() }

    private fun addEvent(hash: Long, stored: Boolean) {
        pendingEvents += CacheEvent(nextSequence++, hash, stored)
    }
}
