package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.limit.LimitSample

/** What a home knows about its backend server and its asks. */
internal class HomeState(
    val limit: AdaptiveLimit,
    val settings: HomeSettings,
    invariants: Invariants,
    var health: ServerHealth,
) {
    val queues = TierQueues()
    val service = ServiceTable(invariants)
    val foreign = ForeignLoad()
    val evidence = ServerEvidence()
    val prefixes = PrefixHistory()
    val estimates = HomeEstimates()

    /** Tiers closed by another home of the pool, and by this one. */
    var poolClosure = TierClosure()
    var ownClosure = TierClosure()

    /** Set once this instance is no longer the home. */
    var closedReason: RefusalReason? = null

    /** Takes what an entry observed of a finished request. */
    fun learn(slot: InService, result: SlotResult, nowMillis: Long) {
        estimates.finished(slot, result, nowMillis)
        if (result.resultClass != ResultClass.OK) return
        val sample =
            LimitSample(
                firstTokenMillis = result.firstTokenMillis,
                betweenTokensMicros = result.betweenTokensMicros,
                expectedPrefillMillis = slot.expectedPrefillMillis,
                meanSequences =
                    service.load.meanSequences(slot.start, nowMillis) +
                        foreign.sequences(nowMillis),
                meanContextTokens = service.load.meanContextTokens(slot.start, nowMillis),
            )
        limit.observe(sample, nowMillis)
    }
}
