package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.scheduler.NamedScheduler
import io.lavenderhinge.experiments.workload.Deployment

/** Fault injected during a run of the `schedule` or `compare` command. */
enum class FaultKind(val optionName: String) {
    NONE("none"),

    /** One of the fastest engines is 4 times slower between 25% and 75% of the run. */
    SLOW_ENGINE("slow-engine"),

    /** The arrival rate triples for 10 s. */
    BURST("burst"),

    /** An engine crashes at 25% of the run and restarts with an empty cache at 65%. */
    LOST_SERVER("lost-server"),

    /** A failure domain is partitioned from the others between 25% and 50% of the run. */
    DOMAIN_CUT("domain-cut"),

    /** An instance crashes at 25% of the run and restarts 20 s later. */
    LOST_INSTANCE("lost-instance"),
}

/** Parameters of one run. [loadFactor] is a multiple of the measured [capacityPerSecond]. */
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

    /** Returns the virtual time in seconds at [fraction] of the measurement window. */
    fun secondsAt(fraction: Double): Double = startSeconds + fraction * durationSeconds

    private companion object {
        // Warm-up requests fill batches and caches and are not counted. Queues of an overloaded
        // engine reach the interactive deadline of 30 s after about this time.
        const val WARM_UP_SECONDS = 30.0
    }
}
