package io.lavenderhinge.core.membership

/**
 * Timeouts of the membership table.
 *
 * Broken links and notices about them detect a dead instance within seconds. Missing heartbeats are
 * the slower fallback: with 64 instances in a domain a digest carries only some of the heartbeats,
 * so the age of a live instance's heartbeat has a long tail (docs/measurements/settings.md).
 */
data class MembershipTimings(
    val suspectMillis: Long = 30_000,
    val deadMillis: Long = 45_000,
    val remoteSuspectMillis: Long = 300_000,
    val remoteDeadMillis: Long = 420_000,
    val domainSuspectMillis: Long = 15_000,
    val domainDeadMillis: Long = 30_000,
    val unlistedDeadMillis: Long = 60_000,
    val linkLostDeadMillis: Long = 5_000,
    val removeAfterMillis: Long = 600_000,
    val rejoinJitterMillis: Long = 5_000,
    val serverProbationMillis: Long = 10_000,
    val drainingHoldMillis: Long = 60_000,
    val probeMillis: Long = 1_000,
) {
    /** Time without a heartbeat after which an instance is suspect. */
    fun suspectAfter(ownDomain: Boolean): Long =
        if (ownDomain) suspectMillis else remoteSuspectMillis

    /** Time without a heartbeat after which an instance is dead. */
    fun deadAfter(ownDomain: Boolean): Long = if (ownDomain) deadMillis else remoteDeadMillis
}
