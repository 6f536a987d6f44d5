package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.membership.RendezvousHash

/**
 * The parts of one prompt, each identified together with all parts before it: a server does not
 * process a part again only if its cache holds these as well. Every instance computes the same
 * hashes.
 */
internal class PromptChain(parts: List<PromptPart>) {
    private val hashes = LongArray(parts.size)
    private val tokens = IntArray(parts.size)

    init {
        var hash = 0uL
        parts.forEachIndexed { index, part ->
            hash = RendezvousHash.weight(hash, RendezvousHash.hash64(part.id))
            hashes[index] = hash.toLong()
            tokens[index] = part.tokens
        }
    }

    /** Number of parts. */
    val size: Int
        get() = hashes.size

    /** Returns the hash of the part at [index] and of all parts before it. */
    fun hash(index: Int): Long = hashes[index]

    /** Returns the tokens of the part at [index]. */
    fun tokens(index: Int): Int = tokens[index]

    /** Returns the tokens of the first [count] parts. */
    fun tokensOfFirst(count: Int): Int {
        var sum = 0
        for (index in 0 until count) sum += tokens[index]
        return sum
    }
}
