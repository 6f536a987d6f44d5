package io.lavenderhinge.experiments.settings

/**
 * What goes wrong in a run. Faults last from [FAULT_START_MILLIS] to [FAULT_END_MILLIS]
 * milliseconds.
 */
enum class Scenario(
    val lossFraction: Double = 0.0,
    val maxDelayMillis: Long = 4,
    val platformDelayMillis: Long = 3,
    val restartIntervalMillis: Long = 0,
) {
    /** Nothing. */
    CALM,

    /** 5% of the messages are lost and delays reach 50 ms, during the whole run. */
    LOSSY(lossFraction = 0.05, maxDelayMillis = 50),

    /** Every answer of the platform takes 2 s, during the whole run. */
    SLOW_PLATFORM(platformDelayMillis = 2_000),

    /** The platform accepts writes but no instance of one domain reaches it. */
    DOMAIN_OFF_PLATFORM,

    /** One domain reaches neither the platform nor other domains. */
    DOMAIN_CUT,

    /** No instance reaches the platform, and one instance starts anew every 5 s. */
    OUTAGE(restartIntervalMillis = 5_000),

    /** One instance stops and starts anew every 5 s, 50 times the rate of 350 a day. */
    RESTARTS(restartIntervalMillis = 5_000);

    companion object {
        const val FAULT_START_MILLIS = 90_000L
        const val FAULT_END_MILLIS = 150_000L
    }
}

/** Size and faults of a run. */
data class RunPlan(
    val scenario: Scenario,
    val instances: Int,
    val teams: Int,
    val seed: Long,
    val durationMillis: Long = 240_000,
    val changeIntervalMillis: Long = 10_000,
    val domains: Int = 5,
) {
    /** Backend servers on the list; the design has 600 for 320 instances. */
    val servers: Int
        get() = instances * 600 / 320
}
