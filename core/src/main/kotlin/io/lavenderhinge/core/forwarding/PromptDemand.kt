package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import kotlin.math.exp

/**
 * How much of the traffic of a pool concerns a prompt part, and how often prompts end in a part
 * that recurs. An instance counts its own requests, of which the other instances get similar ones.
 */
internal class PromptDemand {
    private class DecayingCount {
        var value = 0.0
            private set

        private var updatedMillis = Long.MIN_VALUE / 2

        fun at(nowMillis: Long): Double = value * exp((updatedMillis - nowMillis) / DECAY_MILLIS)

        fun add(nowMillis: Long) {
            value = at(nowMillis) + 1
            updatedMillis = nowMillis
        }
    }

    private val counts = LruMap<Long, DecayingCount>(MAX_PARTS)
    private val total = DecayingCount()
    private val recurringFractions = HashMap<Int, Double>()

    /** Counts a request with [chain], whose last part was sent before if [isLastKnown]. */
    fun onSent(chain: PromptChain, isLastKnown: Boolean, nowMillis: Long) {
        total.add(nowMillis)
        for (index in 0 until chain.size) {
            counts.getOrPut(chain.hash(index), ::DecayingCount).add(nowMillis)
        }
        val fraction = recurringFraction(chain)
        val sample = if (isLastKnown) 1.0 else 0.0
        recurringFractions[sizeClass(chain)] = fraction + (sample - fraction) * SAMPLE_WEIGHT
    }

    /**
     * Returns true if the last part of [chain] probably recurs. Whether it does is learned by the
     * number of parts, since requests of one kind have the same number.
     */
    fun isLastRecurring(chain: PromptChain): Boolean =
        recurringFraction(chain) >= MIN_RECURRING_FRACTION

    /**
     * Returns the share of the requests of the last seconds whose prompts contain [part]; null if
     * there were too few requests to tell.
     */
    fun share(part: Long, nowMillis: Long): Double? {
        val all = total.at(nowMillis)
        if (all < MIN_REQUESTS) return null
        val count = counts[part]?.at(nowMillis) ?: 0.0
        // A single request says nothing about the demand for its parts.
        return (count - 1).coerceAtLeast(0.0) / all
    }

    private fun recurringFraction(chain: PromptChain): Double =
        recurringFractions[sizeClass(chain)] ?: INITIAL_FRACTION

    private fun sizeClass(chain: PromptChain) = chain.size.coerceAtMost(MAX_SIZE_CLASS)

    private companion object {
        /** Several times the number of parts that a deployment shares at one time. */
        const val MAX_PARTS = 4_096
        /** Bursts last 3 to 9 seconds. */
        const val DECAY_MILLIS = 5_000.0
        const val MIN_REQUESTS = 20.0
        const val SAMPLE_WEIGHT = 0.02
        /** Prompts are taken to recur until about 80 of them did not. */
        const val INITIAL_FRACTION = 0.5
        const val MIN_RECURRING_FRACTION = 0.1
        const val MAX_SIZE_CLASS = 8
    }
}
