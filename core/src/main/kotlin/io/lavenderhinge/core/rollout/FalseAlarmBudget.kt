package io.lavenderhinge.core.rollout

import kotlin.math.ln
import kotlin.math.max

/**
 * Splits the false alarm probability of one rollout over all tests that can stop it.
 *
 * Controllers share one half: the n-th controller gets 1/(n(n+1)) of it. Instances share the other
 * half equally. By the union bound the total is at most [falseAlarmFraction].
 */
class FalseAlarmBudget(val falseAlarmFraction: Double = DEFAULT_FALSE_ALARM_FRACTION) {
    /**
     * Log evidence at which the controller rolls back; [earlierControllers] counts its
     * predecessors.
     */
    fun controllerLogThreshold(earlierControllers: Int): Double =
        ln((earlierControllers + 1.0) * (earlierControllers + 2.0) / (falseAlarmFraction / 2))

    /**
     * Log evidence at which any one of [instances] stops the version on its own. An instance that
     * is replaced during the rollout starts a new test, so the budget covers twice as many tests.
     */
    fun instanceLogThreshold(instances: Int): Double =
        ln(2.0 * max(instances, 1) / (falseAlarmFraction / 2))

    /** Default values. */
    companion object {
        /** At most 0.1% of the rollouts of a good version end in a false alarm. */
        const val DEFAULT_FALSE_ALARM_FRACTION = 0.001
    }
}
