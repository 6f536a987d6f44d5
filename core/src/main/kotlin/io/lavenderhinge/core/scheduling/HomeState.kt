package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.limit.LimitSample
import io.lavenderhinge.core.limit.StatedRateLimit

/** State of a home: its queues and slots, and its estimates about the backend server. */
internal class HomeState(
    val limit: AdaptiveLimit,
    val settings: HomeSettings,
    invariants: Invariants,
    var health: ServerHealth,
) {
    val queues = TierQueues()
    val slots = SlotTable(invariants)
    val externalLoad = ExternalLoad()
    val circuitBreaker = CircuitBreaker()
    val prefixes = PrefixCacheEstimate()
    val serviceTimes = ServiceTimeEstimator()
    val statedLimit = StatedRateLimit()

    /** Tiers closed by another home of the pool and by this home. */
    var poolClosure = TierClosure()
    var ownClosure = TierClosure()

    /** Set once this instance is no longer the home or shuts down. */
    var closedReason: RefusalReason? = null

    /** Updates the estimates and the limit with the result of a finished request. */
    fun recordResult(slot: GrantedSlot, result: SlotResult, nowMillis: Long) {
        serviceTimes.onFinished(slot, result, nowMillis)
        if (result.resultClass != ResultClass.OK) return
        val sample =
            LimitSample(
                firstTokenMillis = result.firstTokenMillis,
                betweenTokensMicros = result.betweenTokensMicros,
                expectedPrefillMillis = slot.expectedPrefillMillis,
                meanSequences =
                    slots.load.meanSequences(slot.loadAtStart, nowMillis) +
                        externalLoad.sequences(nowMillis),
                meanContextTokens = slots.load.meanContextTokens(slot.loadAtStart, nowMillis),
            )
        limit.observe(sample, nowMillis)
    }
}
