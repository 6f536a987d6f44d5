package io.lavenderhinge.core.scheduling

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * The block positions whose hashes are sent and remembered: 1, 2, 3, 4, 6, 8, 12, 16, 24 and so on.
 *
 * A prompt of 10,000 tokens has 156 block hashes, 1.2 KB in every ask. The milestones need a tenth
 * of that and underestimate a hit by at most a third.
 */
object PrefixHashSampling {
    private val sampledPositions = intArrayOf(1, 2) + powersOfTwoTimes(3) + powersOfTwoTimes(4)

    init {
        sampledPositions.sort()
    }

    /** The hashes of [blockHashes], one for each block, that lie on a milestone. */
    fun sample(blockHashes: List<Long>): ImmutableList<Long> =
        sampledPositions
            .takeWhile { it <= blockHashes.size }
            .map { blockHashes[it - 1] }
            .toImmutableList()

    /** Tokens that the milestone hash with [index] covers. */
    fun coveredTokens(index: Int): Int =
        sampledPositions[index.coerceAtMost(sampledPositions.lastIndex)] * PREFIX_BLOCK_TOKENS

    private fun powersOfTwoTimes(first: Int) = IntArray(DOUBLINGS) { first shl it }

    private const val DOUBLINGS = 12
}
