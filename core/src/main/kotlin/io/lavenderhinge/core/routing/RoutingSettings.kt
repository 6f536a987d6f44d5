package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier

/** Limits, timeouts and cost weights of [SlotRouter]. */
data class RoutingSettings(
    /** Largest pool in which all backend servers of the region are candidates. */
    val maxUnpartitionedServers: Int = 128,
    /** Homes tried for one request before it is refused or backs off. */
    val maxGrantRequestsInteractive: Int = 16,
    val maxGrantRequestsLowerTier: Int = 4,
    /**
     * Without an answer in this time, the home counts as stalled or unreachable; another is tried.
     */
    val answerTimeoutMillis: Long = 500,
    /** Delay before a slot in use is confirmed to its home, well below the grant expiry there. */
    val confirmDelayMillis: Long = 1_000,
    /** How long a backend server that is down or leaving is tried only as a last resort. */
    val avoidanceMillis: Long = 2_000,
    val backoffBaseMillis: Long = 100,
    val backoffCapMillis: Long = 2_000,
    /** Cost of a server in another failure domain, in pools above [maxUnpartitionedServers]. */
    val crossDomainCostMillis: Double = 20.0,
    /** Cost per request of this entry in service; spreads the load while nothing is queued. */
    val inServiceCostMillis: Double = 4.0,
    /** Maximum affinity bonus; makes entries choose the same server for an unseen prefix. */
    val maxAffinityMillis: Double = 100.0,
) {
    fun maxGrantRequests(tier: Tier): Int =
        if (tier == Tier.INTERACTIVE) maxGrantRequestsInteractive else maxGrantRequestsLowerTier
}
