package io.lavenderhinge.core.scheduling

/** Limits and timeouts of a [Home]. */
data class HomeSettings(
    val queueCapacity: Int = 256,
    /** A grant that its entry does not confirm within this time is considered lost and revoked. */
    val grantExpiryMillis: Long = 2_000,
    /** Slots of an entry with a broken link are freed after this time at the latest. */
    val orphanExpiryMillis: Long = 5_000,
    /**
     * Prefill that may queue inside an engine. The engine queue ignores tiers, so keep it short.
     */
    val prefillSlackMillis: Double = 200.0,
    /** How long lower tiers stay closed to protect a higher tier. */
    val tierClosedMillis: Long = 2_000,
    /** How long before its latest start time an interactive request preempts a lower tier. */
    val preemptionLeadMillis: Long = 300,
    /** Time an entry has to act on a preemption before another victim is chosen. */
    val preemptionExpiryMillis: Long = 1_000,
)
