package io.lavenderhinge.core.rollout

import kotlin.math.max

/** How often an instance reads records and reports counts, so that the fleet keeps its budgets. */
class RolloutPace {
    /**
     * The fleet together reads at most [FLEET_READS_PER_SECOND] times a second from the platform.
     */
    fun readPeriodMillis(instances: Int): Long =
        max(SHORTEST_MILLIS, instances * MILLIS_PER_SECOND / FLEET_READS_PER_SECOND)

    /** The mover receives at most [MOVER_BYTES_PER_SECOND] from all instances together. */
    fun reportPeriodMillis(instances: Int, reportBytes: Int): Long =
        max(SHORTEST_MILLIS, instances * reportBytes * MILLIS_PER_SECOND / MOVER_BYTES_PER_SECOND)

    /** Budgets. */
    companion object {
        /** 2.5% of the 2,000 reads a second that the platform allows. */
        const val FLEET_READS_PER_SECOND = 50L

        /** Half of the 5 KB a second that control may cost an instance. */
        const val MOVER_BYTES_PER_SECOND = 2_500L
        private const val SHORTEST_MILLIS = 2_000L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
