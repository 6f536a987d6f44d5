package io.lavenderhinge.core.rollout

/**
 * Estimate of the old version's event rate on one route, from the blocks before the current one.
 * Counts are scaled down beyond [MAX_REQUESTS], so that the estimate follows recent traffic.
 */
internal class OldVersionRate(priorRate: Double) {
    private var events = priorRate * PRIOR_REQUESTS
    private var requests = PRIOR_REQUESTS

    val rate: Double
        get() = (events / requests).coerceIn(MIN_RATE, MAX_RATE)

    fun update(block: Block) {
        events += block.oldEvents
        requests += block.oldRequests
        if (requests <= MAX_REQUESTS) return
        events *= MAX_REQUESTS / requests
        requests = MAX_REQUESTS
    }

    private companion object {
        const val PRIOR_REQUESTS = 50.0
        const val MAX_REQUESTS = 20_000.0
        const val MIN_RATE = 1e-4
        const val MAX_RATE = 0.9
    }
}
