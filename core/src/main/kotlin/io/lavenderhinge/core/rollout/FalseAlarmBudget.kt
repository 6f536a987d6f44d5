package io.lavenderhinge.core.rollout

import kotlin.math.ln
import kotlin.math.max

/**
 * Divides the probability of a false alarm in one rollout among all tests that can stop it.
 *
 * Half goes to the movers, where the n-th mover gets 1/(n(n+1)) of it; half goes to the instances
 * in equal parts. The sum is at most [falseAlarmFraction] by the union bound.
 */
class FalseAlarmBudget(val falseAlarmFraction: Double = DEFAULT_FALSE_ALARM_FRACTION) {
    /** Evidence at which the mover undoes the rollout; [earlierControllers] is 0 for the first. */
    fun controllerLogThreshold(earlierControllers: Int): Double =
        ln((earlierControllers + 1.0) * (earlierControllers + 2.0) / (falseAlarmFraction / 2))

    /**
     * Evidence at which one of [instances] stops the version on its own. Instances replaced during
     * the rollout start a test of their own: room is left for as many again.
     */
    fun instanceLogThreshold(instances: Int): Double =
        ln(2.0 * max(instances, 1) / (falseAlarmFraction / 2))

    /** Constants of the budget. */
    companion object {
        /** 0.1% false alarms for each rollout. */
        const val DEFAULT_FALSE_ALARM_FRACTION = 0.001
    }
}
