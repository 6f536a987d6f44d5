package io.lavenderhinge.core.rollout

import kotlin.math.max

/** Intervals for reading records and reporting counts that keep the fleet within its budgets. */
class RolloutIntervals {
    /** Interval at which the whole fleet stays within [FLEET_READS_PER_SECOND]. */
    fun readPeriodMillis(instances: Int): Long =
        max(MIN_PERIOD_MILLIS, instances * MILLIS_PER_SECOND / FLEET_READS_PER_SECOND)

    /** Interval at which the controller receives at most [CONTROLLER_BYTES_PER_SECOND]. */
    fun reportPeriodMillis(instances: Int, reportBytes: Int): Long =
        max(
            MIN_PERIOD_MILLIS,
            instances * reportBytes * MILLIS_PER_SECOND / CONTROLLER_BYTES_PER_SECOND,
        )

    /** Budgets and limits. */
    companion object {
        /** 2.5% of the 2,000 reads per second that the platform allows. */
        const val FLEET_READS_PER_SECOND = 50L

        /** Half of the 5 KB per second that an instance may use for control traffic. */
        const val CONTROLLER_BYTES_PER_SECOND = 2_500L
        private const val MIN_PERIOD_MILLIS = 2_000L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
