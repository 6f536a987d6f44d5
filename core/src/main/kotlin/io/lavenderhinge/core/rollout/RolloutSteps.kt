package io.lavenderhinge.core.rollout

import kotlin.math.max
import kotlin.math.min

/** The traffic shares of a rollout and the minimum duration of each step. */
class RolloutSteps(unprovedShareFraction: Double) {
    /** Traffic shares in ascending order; the last one is 1. */
    val shares: List<Double> =
        (listOf(FIRST_SHARE, unprovedShareFraction) + LATER_SHARES)
            .filterNot { it > FIRST_SHARE && it < unprovedShareFraction }
            .distinct()
            .sorted()

    /** Index of the highest step whose share is at most [shareFraction], or 0 if there is none. */
    fun stepFor(shareFraction: Double): Int = max(0, shares.indexOfLast { it <= shareFraction })

    /**
     * Minimum duration of [step] that began at [sinceMillis]: an equal part of 60% of the time left
     * until [deadlineMillis]. The remaining 40% is a reserve for routes with little traffic and for
     * outages. Long steps expose late faults while the share is still small.
     */
    fun minStepMillis(step: Int, sinceMillis: Long, deadlineMillis: Long): Long {
        val stepsLeft = max(1, shares.size - 1 - step)
        val stepMillis = (deadlineMillis - sinceMillis) * SCHEDULED_PERCENT / PERCENT / stepsLeft
        return min(max(stepMillis, MIN_STEP_MILLIS), MAX_STEP_MILLIS)
    }

    private companion object {
        const val FIRST_SHARE = 0.01
        val LATER_SHARES = listOf(0.25, 0.5, 1.0)
        const val SCHEDULED_PERCENT = 60
        const val PERCENT = 100
        const val MIN_STEP_MILLIS = 10_000L
        const val MAX_STEP_MILLIS = 30 * 60_000L
    }
}
