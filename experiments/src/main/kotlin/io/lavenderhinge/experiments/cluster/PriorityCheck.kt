package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.Tier
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.EventLoop

/**
 * Checks invariant I2 on the state of the whole fleet: when a top-tier request is shed, no request
 * of a lower tier and the same target may stay in service on a backend server that its entry can
 * reach. [PREEMPTION_GRACE_MICROS] allows for preemptions in transit.
 */
internal class PriorityCheck(
    private val loop: EventLoop,
    private val network: Network,
    private val requests: RequestRegistry,
    private val violations: ViolationLog,
) {
    fun check(shed: RequestRecord, reason: ShedReason) {
        if (shed.request.tier != Tier.INTERACTIVE) return
        val lowerTierInService = requests.active.filter { isLowerTierInService(it, shed) }
        if (lowerTierInService.isEmpty()) return
        loop.after(PREEMPTION_GRACE_MICROS) {
            val stillInService = lowerTierInService.filter { it.phase == Phase.IN_SERVICE }
            if (stillInService.isNotEmpty()) {
                violations.record(Invariant.TOP_TIER_FIRST, describe(shed, reason, stillInService))
            }
        }
    }

    private fun describe(
        shed: RequestRecord,
        reason: ShedReason,
        served: List<RequestRecord>,
    ): String =
        "${shed.request.id} (${shed.request.route}, ${shed.request.promptTokens} tokens) shed " +
            "($reason) after ${shed.durationMillis} ms " +
            "while lower-tier requests are in service: ${served.size}, " +
            "first ${served[0].request.id} on ${served[0].serverId}"

    private fun isLowerTierInService(record: RequestRecord, shed: RequestRecord): Boolean {
        val serverId = record.serverId ?: return false
        return record.phase == Phase.IN_SERVICE &&
            shed.request.tier.outranks(record.request.tier) &&
            record.request.target == shed.request.target &&
            network.isReachable(shed.entryId, serverId)
    }

    private companion object {
        // Several times the one-way delay between failure domains.
        const val PREEMPTION_GRACE_MICROS = 20_000L
    }
}
