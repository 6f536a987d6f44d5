package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.scheduler.NamedScheduler
import io.lavenderhinge.experiments.workload.Deployment

/** What goes wrong during a run of the `schedule` command. */
enum class FaultKind(val optionName: String) {
    NONE("none"),

    /** One of the fastest engines takes four times as long for the middle half of the run. */
    SLOW_ENGINE("slow-engine"),

    /** Arrivals triple for 10 s. */
    BURST("burst"),

    /** An engine dies at a quarter of the run and comes back empty after two thirds. */
    LOST_SERVER("lost-server"),

    /** A failure domain is cut off from the others from a quarter to a half of the run. */
    DOMAIN_CUT("domain-cut"),

    /** An entry instance dies at a quarter of the run and comes back 20 s later. */
    LOST_INSTANCE("lost-instance"),
}

/** One run. [loadFactor] is a multiple of the measured [capacityPerSecond]. */
data class Scenario(
    val deployment: Deployment,
    val scheduler: NamedScheduler,
    val loadFactor: Double,
    val fault: FaultKind,
    val seed: Long,
    val durationSeconds: Int,
    val capacityPerSecond: Double,
) {
    val startSeconds: Double
        get() = WARM_UP_SECONDS

    val endSeconds: Double
        get() = WARM_UP_SECONDS + durationSeconds

    /** Seconds of virtual time after [fraction] of the measured part. */
    fun secondsAt(fraction: Double): Double = startSeconds + fraction * durationSeconds

    private companion object {
        // Requests of the warm-up fill batches and caches and are not counted. Queues of an
        // overloaded engine reach the interactive deadline of 30 s after about this time.
        const val WARM_UP_SECONDS = 30.0
    }
}
