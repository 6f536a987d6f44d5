package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier

/** Bounds and times of an entry's routing. */
data class RoutingSettings(
    /** Largest pool of which every backend server of the region is a candidate. */
    val maxUnpartitionedServers: Int = 128,
    /** Homes asked for one request before it is refused or backs off. */
    val maxGrantRequestsInteractive: Int = 16,
    val maxGrantRequestsLowerTier: Int = 4,
    /** An ask without an answer by then is asked elsewhere: its home is paused or cut off. */
    val answerTimeoutMillis: Long = 500,
    /** When a slot in use is confirmed to its home, well before the grant expires there. */
    val confirmDelayMillis: Long = 1_000,
    /** How long a backend server that is down or leaving is asked last. */
    val avoidanceMillis: Long = 2_000,
    val backoffBaseMillis: Long = 100,
    val backoffCapMillis: Long = 2_000,
    /** Extra cost of a backend server in another failure domain, for pools over the bound. */
    val crossDomainCostMillis: Double = 20.0,
    /** Cost of each own request in service: spreads load while nothing queues. */
    val inServiceCostMillis: Double = 4.0,
    /** Greatest bonus by which entries agree on a server for a prefix none of them has seen. */
    val maxAffinityMillis: Double = 100.0,
) {
    fun maxGrantRequests(tier: Tier): Int =
        if (tier == Tier.INTERACTIVE) maxGrantRequestsInteractive else maxGrantRequestsLowerTier
}
