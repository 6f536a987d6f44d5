package io.lavenderhinge.core.scheduling

/** Bounds and times of a home. */
data class HomeSettings(
    val queueCapacity: Int = 256,
    /** A grant that its entry has not confirmed by then was lost and is taken back. */
    val grantExpiryMillis: Long = 2_000,
    /** Slots of an entry whose link broke are returned after this time at the latest. */
    val orphanExpiryMillis: Long = 5_000,
    /** Prefill that may queue inside an engine; more would undo the order of the tiers. */
    val prefillSlackMillis: Double = 200.0,
    /** How long lower tiers stay closed after a higher one had to be protected. */
    val tierClosedMillis: Long = 2_000,
    /** How long before its latest start an interactive ask preempts a lower tier. */
    val preemptionLeadMillis: Long = 300,
    /** Time for an entry to obey a preemption before another victim is chosen. */
    val preemptionExpiryMillis: Long = 1_000,
)
