package io.lavenderhinge.core.membership

/**
 * Times of the membership table.
 *
 * Heartbeats of the own domain travel by gossip each second, those of other domains each 5 s. The
 * silence that makes a member suspect is above the 99.9th percentile of the age of its heartbeat at
 * 64 instances a domain with 5% of the messages lost (docs/measurements/settings.md).
 */
data class MembershipTimings(
    val suspectMillis: Long = 10_000,
    val deadMillis: Long = 15_000,
    val outsideSuspectMillis: Long = 40_000,
    val outsideDeadMillis: Long = 60_000,
    val linkLostDeadMillis: Long = 5_000,
    val forgetMillis: Long = 600_000,
    val rejoinJitterMillis: Long = 5_000,
    val serverProbationMillis: Long = 10_000,
    val drainingMillis: Long = 60_000,
    val probeMillis: Long = 1_000,
) {
    /** Silence after which an instance is suspect. */
    fun suspectAfter(ownDomain: Boolean): Long =
        if (ownDomain) suspectMillis else outsideSuspectMillis

    /** Silence after which an instance is dead. */
    fun deadAfter(ownDomain: Boolean): Long = if (ownDomain) deadMillis else outsideDeadMillis
}
