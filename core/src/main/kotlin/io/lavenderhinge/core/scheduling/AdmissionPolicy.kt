package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/** Decides whether and when a home serves a grant request, based on the home's current state. */
internal class AdmissionPolicy(private val state: HomeState) {
    private val queues = state.queues
    private val slots = state.slots
    private val serviceTimes = state.serviceTimes

    /** Returns why the backend server accepts no work at [nowMillis], or null if it does. */
    fun unavailabilityReason(nowMillis: Long): RefusalReason? =
        state.closedReason
            ?: when (state.health.state) {
                ServerState.LEAVING -> RefusalReason.SERVER_LEAVING
                ServerState.DOWN -> RefusalReason.SERVER_DOWN
                ServerState.LIVE -> state.circuitBreaker.refusalAt(nowMillis)
            }

    fun canMeetDeadline(request: GrantRequest, nowMillis: Long): Boolean {
        val cached = state.prefixes.expectedTokens(request.prefixHashes)
        val prefillTokens = (request.promptTokens - cached).coerceAtLeast(0)
        val wait = if (canPreempt(request)) 0 else expectedWaitMillis(request.tier, nowMillis)
        return nowMillis + wait + serviceTimes.serviceMillis(request, prefillTokens) <=
            request.deadlineMillis
    }

    /** A preempting request waits only until a request of a lower tier releases its slot. */
    fun canPreempt(request: GrantRequest) = request.mayPreempt && slots.countBelow(request.tier) > 0

    fun isExpired(slot: GrantedSlot, nowMillis: Long): Boolean {
        val orphanedAt = slot.orphanedAtMillis
        if (orphanedAt != null) return nowMillis - orphanedAt >= state.settings.orphanExpiryMillis
        return !slot.isConfirmed &&
            nowMillis - slot.grantedAtMillis >= state.settings.grantExpiryMillis
    }

    fun missesDeadline(waiting: QueuedRequest, nowMillis: Long): Boolean =
        nowMillis + serviceTimes.serviceMillis(waiting.request, waiting.prefillTokens) >
            waiting.request.deadlineMillis

    fun missesFirstTokenTarget(waiting: QueuedRequest, nowMillis: Long): Boolean =
        waiting.request.firstTokenDueMillis != Long.MAX_VALUE &&
            nowMillis + serviceTimes.prefillMillis(waiting.prefillTokens) >
                waiting.request.firstTokenDueMillis

    fun fits(waiting: QueuedRequest, nowMillis: Long): Boolean {
        if (!state.circuitBreaker.allowsGrant(nowMillis)) return false
        if (state.statedLimit.waitMillis(ahead = 0, nowMillis) > 0) return false
        if (!hasFreeSlots(nowMillis)) return false
        if (slots.size == 0) return true
        val backlogMillis = serviceTimes.prefillBacklogMillis(nowMillis)
        if (backlogMillis > state.settings.prefillSlackMillis) return false
        return slots.contextTokens + contextTokens(waiting.request) <= state.limit.contextTokens
    }

    fun hasFreeSlots(nowMillis: Long) = slots.size < capacity(nowMillis)

    /**
     * Number of slots this home can grant: the limit minus external load, but at least one so that
     * the queue always makes progress.
     */
    fun capacity(nowMillis: Long): Int {
        val scaled = (state.limit.sequences * state.health.capacityFraction).toInt()
        return (scaled - state.externalLoad.sequences(nowMillis)).coerceAtLeast(1)
    }

    fun contextTokens(request: GrantRequest): Long =
        request.promptTokens + serviceTimes.expectedOutputTokens(request).toLong()

    fun isUrgent(waiting: QueuedRequest, nowMillis: Long): Boolean {
        if (waiting.request.mayPreempt) return true
        val byDeadline =
            waiting.request.deadlineMillis -
                serviceTimes.serviceMillis(waiting.request, waiting.prefillTokens)
        val byFirstToken =
            waiting.request.firstTokenDueMillis - serviceTimes.prefillMillis(waiting.prefillTokens)
        return nowMillis + state.settings.preemptionLeadMillis >= minOf(byDeadline, byFirstToken)
    }

    fun lowestOpenTier(nowMillis: Long): Tier =
        minOf(
            state.ownClosure.lowestOpenTier(nowMillis),
            state.poolClosure.lowestOpenTier(nowMillis),
        )

    fun expectedWaitMillis(tier: Tier, nowMillis: Long): Long {
        val capacity = capacity(nowMillis)
        val missingSlots = queues.countAhead(tier) + 1 - (capacity - slots.size)
        val slotWait =
            if (missingSlots <= 0) 0.0 else missingSlots * serviceTimes.meanServiceMillis / capacity
        val prefillWait =
            serviceTimes.prefillBacklogMillis(nowMillis) +
                serviceTimes.prefillWorkMillis(queues.prefillTokensAhead(tier)) -
                state.settings.prefillSlackMillis
        val limitWait = state.statedLimit.waitMillis(queues.countAhead(tier), nowMillis)
        return maxOf(slotWait, prefillWait, limitWait).toLong()
    }
}
