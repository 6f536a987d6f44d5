package io.lavenderhinge.core.rollout

import kotlin.math.max

/** How often an instance reads records and reports counts, so that the fleet keeps its budgets. */
class RolloutIntervals {
    /**
     * The fleet together reads at most [FLEET_READS_PER_SECOND] times a second from the platform.
     */
    fun readPeriodMillis(instances: Int): Long =
        max(MIN_PERIOD_MILLIS, instances * MILLIS_PER_SECOND / FLEET_READS_PER_SECOND)

    /** The mover receives at most [CONTROLLER_BYTES_PER_SECOND] from all instances together. */
    fun reportPeriodMillis(instances: Int, reportBytes: Int): Long =
        max(
            MIN_PERIOD_MILLIS,
            instances * reportBytes * MILLIS_PER_SECOND / CONTROLLER_BYTES_PER_SECOND,
        )

    /** Budgets. */
    companion object {
        /** 2.5% of the 2,000 reads a second that the platform allows. */
        const val FLEET_READS_PER_SECOND = 50L

        /** Half of the 5 KB a second that control may cost an instance. */
        const val CONTROLLER_BYTES_PER_SECOND = 2_500L
        private const val MIN_PERIOD_MILLIS = 2_000L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
