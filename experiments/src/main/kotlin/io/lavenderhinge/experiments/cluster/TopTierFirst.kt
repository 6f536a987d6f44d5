package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.core.Tier
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.EventLoop

/**
 * Checks invariant I2 with knowledge of the whole fleet: when a top-tier request is shed, no
 * request of a lower tier and the same target may stay in service on a backend server that its
 * entry reaches. A preemption that is under way needs [GRACE_MICROS] to arrive.
 */
internal class TopTierFirst(
    private val loop: EventLoop,
    private val network: Network,
    private val book: RequestBook,
    private val violations: Violations,
) {
    fun check(shed: RequestRecord, reason: ShedReason) {
        if (shed.request.tier != Tier.INTERACTIVE) return
        val servedLower = book.active.filter { isServedLower(it, shed) }
        if (servedLower.isEmpty()) return
        loop.after(GRACE_MICROS) {
            val stillServed = servedLower.filter { it.phase == Phase.IN_SERVICE }
            if (stillServed.isNotEmpty()) {
                violations.add(Invariant.TOP_TIER_FIRST, text(shed, reason, stillServed))
            }
        }
    }

    private fun text(shed: RequestRecord, reason: ShedReason, served: List<RequestRecord>): String =
        "${shed.request.id} (${shed.request.route}, ${shed.request.promptTokens} tokens) shed " +
            "($reason) after ${shed.endMillis} ms while ${served.size} of a lower tier are " +
            "served, first ${served[0].request.id} on ${served[0].serverId}"

    private fun isServedLower(record: RequestRecord, shed: RequestRecord): Boolean {
        val serverId = record.serverId ?: return false
        return record.phase == Phase.IN_SERVICE &&
            shed.request.tier.outranks(record.request.tier) &&
            record.request.target == shed.request.target &&
            network.isReachable(shed.entryId, serverId)
    }

    private companion object {
        // Several times the one-way delay between failure domains.
        const val GRACE_MICROS = 20_000L
    }
}
