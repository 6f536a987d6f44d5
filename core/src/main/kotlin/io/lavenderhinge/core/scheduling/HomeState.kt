package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.AdaptiveLimit

/** What a home knows about its backend server and its asks. */
internal class HomeState(
    val limit: AdaptiveLimit,
    val settings: HomeSettings,
    invariants: Invariants,
) {
    val queues = TierQueues()
    val service = ServiceTable(invariants)
    val foreign = ForeignLoad()
    val evidence = ServerEvidence()
    val prefixes = PrefixHistory()
    val estimates = HomeEstimates()
    var health = ServerHealth(ServerState.LIVE)

    /** Tiers closed by another home of the pool, and by this one. */
    var poolClosure = TierClosure()
    var ownClosure = TierClosure()

    /** Set once this instance is no longer the home. */
    var closedReason: RefusalReason? = null
}
