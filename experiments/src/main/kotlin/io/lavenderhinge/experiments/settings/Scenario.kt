package io.lavenderhinge.experiments.settings

/** Faults of a run. Temporary faults last from [FAULT_START_MILLIS] to [FAULT_END_MILLIS]. */
enum class Scenario(
    val lossFraction: Double = 0.0,
    val maxDelayMillis: Long = 4,
    val platformDelayMillis: Long = 3,
    val restartIntervalMillis: Long = 0,
) {
    /** No faults. */
    CALM,

    /** 5% message loss and delays of up to 50 ms during the whole run. */
    LOSSY(lossFraction = 0.05, maxDelayMillis = 50),

    /** Every platform response takes 2 s during the whole run. */
    SLOW_PLATFORM(platformDelayMillis = 2_000),

    /** The platform accepts writes, but one domain cannot reach it. */
    DOMAIN_OFF_PLATFORM,

    /** One domain can reach neither the platform nor the other domains. */
    DOMAIN_CUT,

    /** No instance can reach the platform, and one instance restarts every 5 s. */
    OUTAGE(restartIntervalMillis = 5_000),

    /** One instance restarts every 5 s, 50 times the design rate of 350 restarts per day. */
    RESTARTS(restartIntervalMillis = 5_000);

    companion object {
        const val FAULT_START_MILLIS = 90_000L
        const val FAULT_END_MILLIS = 150_000L
    }
}

/** Parameters of a run. */
data class RunPlan(
    val scenario: Scenario,
    val instances: Int,
    val teams: Int,
    val seed: Long,
    val durationMillis: Long = 240_000,
    val changeIntervalMillis: Long = 10_000,
    val domains: Int = 5,
) {
    /** Number of listed backend servers, in the design's ratio of 600 servers to 320 instances. */
    val servers: Int
        get() = instances * 600 / 320
}
