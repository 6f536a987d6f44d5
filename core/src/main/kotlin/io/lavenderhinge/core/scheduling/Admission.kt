package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/** Questions about a home's state that decide whether and when an ask is served. */
internal class Admission(private val state: HomeState) {
    private val queues = state.queues
    private val service = state.service
    private val estimates = state.estimates

    fun unavailable(nowMillis: Long): RefusalReason? =
        state.closedReason
            ?: when (state.health.state) {
                ServerState.LEAVING -> RefusalReason.SERVER_LEAVING
                ServerState.DOWN -> RefusalReason.SERVER_DOWN
                ServerState.LIVE -> state.evidence.refusalAt(nowMillis)
            }

    fun canMeetDeadline(ask: SlotAsk, nowMillis: Long): Boolean {
        val cached = state.prefixes.expectedTokens(ask.prefixHashes)
        val prefillTokens = (ask.promptTokens - cached).coerceAtLeast(0)
        val wait = if (mayJumpQueue(ask)) 0 else expectedWaitMillis(ask.tier, nowMillis)
        return nowMillis + wait + estimates.serviceMillis(ask, prefillTokens) <= ask.deadlineMillis
    }

    /** A preempting ask waits only until a lower tier gives up its slot. */
    fun mayJumpQueue(ask: SlotAsk) = ask.mayPreempt && service.lower(ask.tier) > 0

    fun isExpired(slot: InService, nowMillis: Long): Boolean {
        val orphanedAt = slot.orphanedAtMillis
        if (orphanedAt != null) return nowMillis - orphanedAt >= state.settings.orphanExpiryMillis
        return !slot.isConfirmed &&
            nowMillis - slot.grantedAtMillis >= state.settings.grantExpiryMillis
    }

    fun isTooLate(waiting: WaitingAsk, nowMillis: Long): Boolean =
        nowMillis + estimates.serviceMillis(waiting.ask, waiting.prefillTokens) >
            waiting.ask.deadlineMillis

    fun missesFirstToken(waiting: WaitingAsk, nowMillis: Long): Boolean =
        waiting.ask.firstTokenDueMillis != Long.MAX_VALUE &&
            nowMillis + estimates.prefillMillis(waiting.prefillTokens) >
                waiting.ask.firstTokenDueMillis

    fun fits(waiting: WaitingAsk, nowMillis: Long): Boolean {
        if (!state.evidence.mayGrant(nowMillis)) return false
        if (!hasFreeSlots(nowMillis)) return false
        if (service.size == 0) return true
        val backlogMillis = estimates.prefillBacklogMillis(nowMillis)
        if (backlogMillis > state.settings.prefillSlackMillis) return false
        return service.contextTokens + contextTokens(waiting.ask) <= state.limit.contextTokens
    }

    fun hasFreeSlots(nowMillis: Long) = service.size < capacity(nowMillis)

    /** Slots of this home: the limit, less the load of others; one stays for progress. */
    fun capacity(nowMillis: Long): Int {
        val scaled = (state.limit.sequences * state.health.capacityFraction).toInt()
        return (scaled - state.foreign.sequences(nowMillis)).coerceAtLeast(1)
    }

    fun contextTokens(ask: SlotAsk): Long =
        ask.promptTokens + estimates.expectedOutputTokens(ask).toLong()

    fun isUrgent(waiting: WaitingAsk, nowMillis: Long): Boolean {
        if (waiting.ask.mayPreempt) return true
        val byDeadline =
            waiting.ask.deadlineMillis - estimates.serviceMillis(waiting.ask, waiting.prefillTokens)
        val byFirstToken =
            waiting.ask.firstTokenDueMillis - estimates.prefillMillis(waiting.prefillTokens)
        return nowMillis + state.settings.preemptionLeadMillis >= minOf(byDeadline, byFirstToken)
    }

    fun lowestOpenTier(nowMillis: Long): Tier =
        minOf(
            state.ownClosure.lowestOpenTier(nowMillis),
            state.poolClosure.lowestOpenTier(nowMillis),
        )

    fun expectedWaitMillis(tier: Tier, nowMillis: Long): Long {
        val capacity = capacity(nowMillis)
        val short = queues.ahead(tier) + 1 - (capacity - service.size)
        val slotWait = if (short <= 0) 0.0 else short * estimates.meanServiceMillis / capacity
        val prefillWait =
            estimates.prefillBacklogMillis(nowMillis) +
                estimates.prefillWorkMillis(queues.prefillTokensAhead(tier)) -
                state.settings.prefillSlackMillis
        return maxOf(slotWait, prefillWait, 0.0).toLong()
    }
}
