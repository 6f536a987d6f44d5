package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.port.LoadReport

/**
 * Home of one backend server: holds its queue, grants its slots and tracks them.
 *
 * Deterministic: all state follows from the events and their times. An ask ends with exactly one
 * grant or one refusal, unless its entry withdraws it or its link breaks.
 */
class Home(
    val serverId: String,
    private val limit: AdaptiveLimit,
    private val settings: HomeSettings = HomeSettings(),
    private val invariants: Invariants = Invariants(),
    health: ServerHealth = ServerHealth(ServerState.LIVE),
) {
    private val state = HomeState(limit, settings, invariants, health)
    private val admission = Admission(state)
    private val queues = state.queues
    private val service = state.service
    private val estimates = state.estimates
    private var arrivals = 0L
    private var summaries = 0L
    private val effects = ArrayList<HomeEffect>()

    /** Handles [event] and returns the messages to send, in order. */
    fun handle(event: HomeEvent, nowMillis: Long): List<HomeEffect> {
        effects.clear()
        apply(event, nowMillis)
        grantWhatFits(nowMillis)
        preemptWhereNeeded(nowMillis)
        state.foreign.ownLoad(service.size, nowMillis)
        return effects.toList()
    }

    /** What entries should know about this home. */
    fun summary(nowMillis: Long): HomeSummary =
        HomeSummary(
            serverId = serverId,
            expectedWaitMillis = admission.expectedWaitMillis(Tier.INTERACTIVE, nowMillis),
            freeSlots = (admission.capacity(nowMillis) - service.size).coerceAtLeast(0),
            lowestOpenTier = state.ownClosure.lowestOpenTier(nowMillis),
            sequence = nextSummary(nowMillis),
        )

    /** Follows the clock, so that the summaries of a successor are newer than those before. */
    private fun nextSummary(nowMillis: Long): Long {
        summaries = maxOf(summaries + 1, nowMillis)
        return summaries
    }

    /** State for the status page and for tests. */
    fun status(nowMillis: Long): HomeStatus =
        HomeStatus(
            waiting = Tier.entries.map { queues.waiting(it) },
            inService = service.size,
            foreign = state.foreign.sequences(nowMillis),
            capacity = admission.capacity(nowMillis),
            contextTokens = service.contextTokens,
            contextTokenLimit = limit.contextTokens,
            expectedWaitMillis = Tier.entries.map { admission.expectedWaitMillis(it, nowMillis) },
            lowestOpenTier = admission.lowestOpenTier(nowMillis),
        )

    private fun apply(event: HomeEvent, nowMillis: Long) {
        when (event) {
            is HomeEvent.Asked -> asked(event.ask, nowMillis)
            is HomeEvent.Registered -> registered(event.ask, nowMillis)
            is HomeEvent.Released -> released(event.key, nowMillis)
            is HomeEvent.Finished -> finished(event.key, event.result, nowMillis)
            is HomeEvent.LoadReported -> loadReported(event.report, nowMillis)
            is HomeEvent.CacheChanged -> state.prefixes.changed(event.events)
            is HomeEvent.LinkLost -> linkLost(event.entryId, nowMillis)
            is HomeEvent.PoolTierChanged ->
                state.poolClosure = TierClosure(event.lowestOpenTier, event.untilMillis)
            is HomeEvent.ServerChanged -> serverChanged(event.health, nowMillis)
            HomeEvent.Tick -> tick(nowMillis)
            is HomeEvent.Closed -> {
                state.closedReason = event.reason
                refuseAll(event.reason, nowMillis)
            }
        }
    }

    private fun asked(ask: SlotAsk, nowMillis: Long) {
        if (queues[ask.key] != null || service[ask.key] != null) return
        val refusal = refusalFor(ask, nowMillis)
        if (refusal != null) return refuse(ask, refusal, nowMillis)
        if (queues.size >= settings.queueCapacity && !makeRoomFor(ask, nowMillis)) {
            return refuse(ask, RefusalReason.QUEUE_FULL, nowMillis)
        }
        val cached = state.prefixes.expectedTokens(ask.prefixHashes).coerceAtMost(ask.promptTokens)
        queues.add(WaitingAsk(ask, arrivals++, cached))
        grantWhatFits(nowMillis)
        if (queues[ask.key] != null) {
            effects +=
                HomeEffect.Queued(
                    ask.entryId,
                    ask.askId,
                    admission.expectedWaitMillis(ask.tier, nowMillis),
                )
        }
    }

    private fun refusalFor(ask: SlotAsk, nowMillis: Long): RefusalReason? =
        admission.unavailable(nowMillis)
            ?: RefusalReason.TIER_CLOSED.takeIf {
                admission.lowestOpenTier(nowMillis).outranks(ask.tier) &&
                    !admission.hasFreeSlots(nowMillis)
            }
            ?: RefusalReason.DEADLINE.takeIf { !admission.canMeetDeadline(ask, nowMillis) }

    private fun makeRoomFor(ask: SlotAsk, nowMillis: Long): Boolean {
        val displaced = queues.displaceableBy(ask.tier)
        if (displaced == null) return admission.mayJumpQueue(ask)
        queues.remove(displaced.ask.key)
        refuse(displaced.ask, RefusalReason.DISPLACED, nowMillis)
        return true
    }

    private fun registered(ask: SlotAsk, nowMillis: Long) {
        val known = service[ask.key]
        if (known != null) {
            known.isConfirmed = true
            known.orphanedAtMillis = null
            return
        }
        queues.remove(ask.key)
        startService(ask, 0, nowMillis).isConfirmed = true
    }

    private fun released(key: AskKey, nowMillis: Long) {
        if (queues.remove(key) == null) service.remove(key, nowMillis)
    }

    private fun finished(key: AskKey, result: SlotResult, nowMillis: Long) {
        state.evidence.observe(result.resultClass, nowMillis)
        val slot = service[key]
        if (slot != null) state.learn(slot, result, nowMillis)
        service.remove(key, nowMillis)
        admission.unavailable(nowMillis)?.let { refuseAll(it, nowMillis) }
    }

    private fun loadReported(report: LoadReport, nowMillis: Long) {
        state.foreign.reported(report, nowMillis)
        limit.reported(report.running, report.waiting, nowMillis)
        returnOrphans(report, nowMillis)
    }

    /** Returns slots of broken links that the backend server no longer shows. */
    private fun returnOrphans(report: LoadReport, nowMillis: Long) {
        val reportedAtMillis = nowMillis - report.ageMillis
        var missing = service.size - report.running - report.waiting
        for (slot in
            service.all().filter { (it.orphanedAtMillis ?: nowMillis) < reportedAtMillis }) {
            if (missing-- <= 0) return
            service.remove(slot.ask.key, nowMillis)
        }
    }

    private fun linkLost(entryId: String, nowMillis: Long) {
        for (waiting in queues.all()) {
            if (waiting.ask.entryId == entryId) queues.remove(waiting.ask.key)
        }
        for (slot in service.all()) {
            if (slot.ask.entryId == entryId) slot.orphanedAtMillis = nowMillis
        }
    }

    private fun serverChanged(newHealth: ServerHealth, nowMillis: Long) {
        if (newHealth.state == ServerState.LIVE && state.health.state != ServerState.LIVE) {
            state.evidence.clear()
        }
        state.health = newHealth
        admission.unavailable(nowMillis)?.let { refuseAll(it, nowMillis) }
    }

    private fun tick(nowMillis: Long) {
        for (slot in service.all().filter { admission.isExpired(it, nowMillis) }) {
            service.remove(slot.ask.key, nowMillis)
        }
        service.expirePreemptions(nowMillis - settings.preemptionExpiryMillis)
        for (waiting in queues.all()) {
            if (admission.isTooLate(waiting, nowMillis)) drop(waiting, nowMillis)
        }
    }

    private fun drop(waiting: WaitingAsk, nowMillis: Long) {
        queues.remove(waiting.ask.key)
        refuse(waiting.ask, RefusalReason.DEADLINE, nowMillis)
    }

    private fun refuseAll(reason: RefusalReason, nowMillis: Long) {
        for (waiting in queues.all()) {
            queues.remove(waiting.ask.key)
            refuse(waiting.ask, reason, nowMillis)
        }
    }

    private fun refuse(ask: SlotAsk, reason: RefusalReason, nowMillis: Long) {
        val lowerTierCount = queues.lower(ask.tier) + service.lower(ask.tier)
        invariants.check(reason != RefusalReason.QUEUE_FULL || !admission.mayJumpQueue(ask)) {
            "ask ${ask.askId} of ${ask.tier} was shed while a lower tier is in service"
        }
        if (lowerTierCount > 0 && reason in OVERLOAD) closeLowerTiers(ask.tier, nowMillis)
        val wait = admission.expectedWaitMillis(ask.tier, nowMillis)
        effects += HomeEffect.Refuse(ask.entryId, ask.askId, reason, wait, lowerTierCount)
    }

    private fun closeLowerTiers(tier: Tier, nowMillis: Long) {
        if (tier != Tier.INTERACTIVE) return
        state.ownClosure = TierClosure(tier, nowMillis + settings.tierClosedMillis)
    }

    private fun grantWhatFits(nowMillis: Long) {
        if (admission.unavailable(nowMillis) != null) return
        while (true) {
            val next = queues.peek() ?: return
            when {
                admission.isTooLate(next, nowMillis) -> drop(next, nowMillis)
                !next.isLate && admission.missesFirstToken(next, nowMillis) ->
                    queues.moveToLate(next)
                !admission.fits(next, nowMillis) -> return
                else -> grant(next, nowMillis)
            }
        }
    }

    private fun grant(waiting: WaitingAsk, nowMillis: Long) {
        queues.serve(waiting)
        invariants.check(
            Tier.entries.none { it.outranks(waiting.ask.tier) && queues.waiting(it) > 0 }
        ) {
            "ask ${waiting.ask.askId} of ${waiting.ask.tier} was granted before a higher tier"
        }
        startService(waiting.ask, waiting.prefillTokens, nowMillis)
        state.evidence.granted(nowMillis)
        effects +=
            HomeEffect.Grant(waiting.ask.entryId, waiting.ask.askId, waiting.cachedPrefixTokens)
    }

    private fun startService(ask: SlotAsk, prefillTokens: Int, nowMillis: Long): InService {
        val slot =
            InService(
                ask = ask,
                contextTokens = admission.contextTokens(ask),
                prefillTokens = prefillTokens,
                expectedPrefillMillis =
                    estimates.prefillBacklogMillis(nowMillis) +
                        estimates.prefillMillis(prefillTokens),
                grantedAtMillis = nowMillis,
                start = service.load.mark(nowMillis),
            )
        service.add(slot, nowMillis)
        estimates.granted(prefillTokens, nowMillis)
        state.prefixes.dispatched(ask.prefixHashes)
        return slot
    }

    /** Preempts lower tiers for interactive asks that would otherwise miss their latest start. */
    private fun preemptWhereNeeded(nowMillis: Long) {
        if (queues.onTime(Tier.INTERACTIVE) == 0 || service.lower(Tier.INTERACTIVE) == 0) return
        if (admission.unavailable(nowMillis) != null) return
        val urgent = queues.onTimeOf(Tier.INTERACTIVE).count { admission.isUrgent(it, nowMillis) }
        repeat((urgent - service.preempting).coerceAtLeast(0)) {
            val victim = service.victimFor(Tier.INTERACTIVE) ?: return
            service.markPreempted(victim, nowMillis)
            closeLowerTiers(Tier.INTERACTIVE, nowMillis)
            effects += HomeEffect.Preempt(victim.ask.entryId, victim.ask.askId)
        }
    }

    private companion object {
        val OVERLOAD = setOf(RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE)
    }
}
