package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS

/**
 * Prefix cache of an engine: blocks of [PREFIX_BLOCK_TOKENS] tokens, least recently used evicted.
 */
internal class PrefixCache(capacityTokens: Int) {
    private val capacityBlocks = capacityTokens / PREFIX_BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private var pendingEvents = mutableListOf<CacheEvent>()
    private var nextSequence = 1L

    /** Tokens of the longest cached prefix; does not count as a use. */
    fun cachedTokens(prefixHashes: List<Long>): Int =
        prefixHashes.takeWhile(blocks::containsKey).size * PREFIX_BLOCK_TOKENS

    /**
     * Marks all blocks of a prompt as used now and stores the missing ones. The last block is
     * touched first, so that the tail of a prompt is evicted before the head that others share.
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

    /** Drops everything, as after a restart; the sequence of events continues. */
    fun clear() {
        blocks.clear()
        pendingEvents = mutableListOf()
    }

    /** The changes since the last call. */
    fun takeEvents(): List<CacheEvent> = pendingEvents.also { pendingEvents = mutableListOf() }

    private fun addEvent(hash: Long, stored: Boolean) {
        pendingEvents += CacheEvent(nextSequence++, hash, stored)
    }
}
