package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.port.LoadReport

/**
 * Scheduler of one backend server. It queues grant requests, grants slots and tracks the slots in
 * use. The instance that runs it is the home instance of the backend server; the instances that
 * send grant requests to it are entries.
 *
 * The state depends only on the events and their timestamps. Each request ends with exactly one
 * grant or refusal, unless its entry withdraws it or the link to the entry breaks.
 */
class Home(
    val serverId: String,
    private val limit: AdaptiveLimit,
    private val settings: HomeSettings = HomeSettings(),
    private val invariants: Invariants = Invariants(),
    health: ServerHealth = ServerHealth(ServerState.LIVE),
) {
    private val state = HomeState(limit, settings, invariants, health)
    private val admission = AdmissionPolicy(state)
    private val queues = state.queues
    private val slots = state.slots
    private val serviceTimes = state.serviceTimes
    private var nextArrivalNumber = 0L
    private var lastSummarySequence = 0L
    private val effects = ArrayList<HomeEffect>()

    /** Handles [event] and returns the messages to send, in order. */
    fun handle(event: HomeEvent, nowMillis: Long): List<HomeEffect> {
        effects.clear()
        apply(event, nowMillis)
        grantQueuedRequests(nowMillis)
        preemptLowerTiers(nowMillis)
        state.externalLoad.recordOwnLoad(slots.size, nowMillis)
        return effects.toList()
    }

    /** Returns the summary that is gossiped to entries. */
    fun summary(nowMillis: Long): HomeSummary =
        HomeSummary(
            serverId = serverId,
            expectedWaitMillis = admission.expectedWaitMillis(Tier.INTERACTIVE, nowMillis),
            freeSlots = (admission.capacity(nowMillis) - slots.size).coerceAtLeast(0),
            lowestOpenTier = state.ownClosure.lowestOpenTier(nowMillis),
            sequence = nextSummarySequence(nowMillis),
        )

    /**
     * Uses the clock as a lower bound, so that summaries of a successor home have higher numbers.
     */
    private fun nextSummarySequence(nowMillis: Long): Long {
        lastSummarySequence = maxOf(lastSummarySequence + 1, nowMillis)
        return lastSummarySequence
    }

    /** Returns the state for the status page and for tests. */
    fun status(nowMillis: Long): HomeStatus =
        HomeStatus(
            waiting = Tier.entries.map { queues.waiting(it) },
            inService = slots.size,
            foreign = state.externalLoad.sequences(nowMillis),
            capacity = admission.capacity(nowMillis),
            contextTokens = slots.contextTokens,
            contextTokenLimit = limit.contextTokens,
            expectedWaitMillis = Tier.entries.map { admission.expectedWaitMillis(it, nowMillis) },
            lowestOpenTier = admission.lowestOpenTier(nowMillis),
        )

    private fun apply(event: HomeEvent, nowMillis: Long) {
        when (event) {
            is HomeEvent.Requested -> onRequested(event.request, nowMillis)
            is HomeEvent.Registered -> onRegistered(event.request, nowMillis)
            is HomeEvent.Released -> onReleased(event.key, nowMillis)
            is HomeEvent.Finished -> onFinished(event.key, event.result, nowMillis)
            is HomeEvent.LoadReported -> onLoadReported(event.report, nowMillis)
            is HomeEvent.CacheChanged -> state.prefixes.applyCacheEvents(event.events)
            is HomeEvent.LinkLost -> onLinkLost(event.entryId, nowMillis)
            is HomeEvent.PoolTierChanged ->
                state.poolClosure = TierClosure(event.lowestOpenTier, event.untilMillis)
            is HomeEvent.ServerChanged -> onServerChanged(event.health, nowMillis)
            HomeEvent.Tick -> onTick(nowMillis)
            is HomeEvent.Closed -> {
                state.closedReason = event.reason
                refuseAll(event.reason, nowMillis)
            }
        }
    }

    private fun onRequested(request: GrantRequest, nowMillis: Long) {
        if (queues[request.key] != null || slots[request.key] != null) return
        val refusal = refusalFor(request, nowMillis)
        if (refusal != null) return refuse(request, refusal, nowMillis)
        if (queues.size >= settings.queueCapacity && !displaceFor(request, nowMillis)) {
            return refuse(request, RefusalReason.QUEUE_FULL, nowMillis)
        }
        val cached =
            state.prefixes.expectedTokens(request.prefixHashes).coerceAtMost(request.promptTokens)
        queues.add(QueuedRequest(request, nextArrivalNumber++, cached))
        grantQueuedRequests(nowMillis)
        if (queues[request.key] != null) {
            effects +=
                HomeEffect.Queued(
                    request.entryId,
                    request.grantRequestId,
                    admission.expectedWaitMillis(request.tier, nowMillis),
                )
        }
    }

    private fun refusalFor(request: GrantRequest, nowMillis: Long): RefusalReason? =
        admission.unavailabilityReason(nowMillis)
            ?: RefusalReason.TIER_CLOSED.takeIf {
                admission.lowestOpenTier(nowMillis).outranks(request.tier) &&
                    !admission.hasFreeSlots(nowMillis)
            }
            ?: RefusalReason.DEADLINE.takeIf { !admission.canMeetDeadline(request, nowMillis) }

    private fun displaceFor(request: GrantRequest, nowMillis: Long): Boolean {
        val displaced = queues.displaceableBy(request.tier)
        if (displaced == null) return admission.canPreempt(request)
        queues.remove(displaced.request.key)
        refuse(displaced.request, RefusalReason.DISPLACED, nowMillis)
        return true
    }

    private fun onRegistered(request: GrantRequest, nowMillis: Long) {
        val known = slots[request.key]
        if (known != null) {
            known.isConfirmed = true
            known.orphanedAtMillis = null
            return
        }
        queues.remove(request.key)
        addSlot(request, 0, nowMillis).isConfirmed = true
    }

    private fun onReleased(key: GrantRequestKey, nowMillis: Long) {
        if (queues.remove(key) == null) slots.remove(key, nowMillis)
    }

    private fun onFinished(key: GrantRequestKey, result: SlotResult, nowMillis: Long) {
        state.circuitBreaker.onResult(result.resultClass, nowMillis)
        result.limitStatement?.let { state.statedLimit.onStated(it, nowMillis) }
        val slot = slots[key]
        if (slot != null) state.recordResult(slot, result, nowMillis)
        slots.remove(key, nowMillis)
        admission.unavailabilityReason(nowMillis)?.let { refuseAll(it, nowMillis) }
    }

    private fun onLoadReported(report: LoadReport, nowMillis: Long) {
        state.externalLoad.onLoadReported(report, nowMillis)
        limit.onLoadReported(report.running, report.waiting, nowMillis)
        releaseOrphanedSlots(report, nowMillis)
    }

    /** Frees slots of entries with broken links once the server no longer reports the requests. */
    private fun releaseOrphanedSlots(report: LoadReport, nowMillis: Long) {
        val reportedAtMillis = nowMillis - report.ageMillis
        var missing = slots.size - report.running - report.waiting
        for (slot in slots.all().filter { (it.orphanedAtMillis ?: nowMillis) < reportedAtMillis }) {
            if (missing-- <= 0) return
            slots.remove(slot.request.key, nowMillis)
        }
    }

    private fun onLinkLost(entryId: String, nowMillis: Long) {
        for (waiting in queues.all()) {
            if (waiting.request.entryId == entryId) queues.remove(waiting.request.key)
        }
        for (slot in slots.all()) {
            if (slot.request.entryId == entryId) slot.orphanedAtMillis = nowMillis
        }
    }

    private fun onServerChanged(newHealth: ServerHealth, nowMillis: Long) {
        if (newHealth.state == ServerState.LIVE && state.health.state != ServerState.LIVE) {
            state.circuitBreaker.reset()
        }
        state.health = newHealth
        admission.unavailabilityReason(nowMillis)?.let { refuseAll(it, nowMillis) }
    }

    private fun onTick(nowMillis: Long) {
        for (slot in slots.all().filter { admission.isExpired(it, nowMillis) }) {
            slots.remove(slot.request.key, nowMillis)
        }
        slots.expirePreemptions(nowMillis - settings.preemptionExpiryMillis)
        for (waiting in queues.all()) {
            if (admission.missesDeadline(waiting, nowMillis)) refuseForDeadline(waiting, nowMillis)
        }
    }

    private fun refuseForDeadline(waiting: QueuedRequest, nowMillis: Long) {
        queues.remove(waiting.request.key)
        refuse(waiting.request, RefusalReason.DEADLINE, nowMillis)
    }

    private fun refuseAll(reason: RefusalReason, nowMillis: Long) {
        for (waiting in queues.all()) {
            queues.remove(waiting.request.key)
            refuse(waiting.request, reason, nowMillis)
        }
    }

    private fun refuse(request: GrantRequest, reason: RefusalReason, nowMillis: Long) {
        val lowerTierCount = queues.countBelow(request.tier) + slots.countBelow(request.tier)
        invariants.check(reason != RefusalReason.QUEUE_FULL || !admission.canPreempt(request)) {
            "request ${request.grantRequestId} of ${request.tier} was shed while a lower tier is " +
                "in service"
        }
        if (lowerTierCount > 0 && reason in OVERLOAD) closeLowerTiers(request.tier, nowMillis)
        val wait = admission.expectedWaitMillis(request.tier, nowMillis)
        effects +=
            HomeEffect.Refuse(request.entryId, request.grantRequestId, reason, wait, lowerTierCount)
    }

    private fun closeLowerTiers(tier: Tier, nowMillis: Long) {
        if (tier != Tier.INTERACTIVE) return
        state.ownClosure = TierClosure(tier, nowMillis + settings.tierClosedMillis)
    }

    private fun grantQueuedRequests(nowMillis: Long) {
        if (admission.unavailabilityReason(nowMillis) != null) return
        while (true) {
            val next = queues.peek() ?: return
            when {
                admission.missesDeadline(next, nowMillis) -> refuseForDeadline(next, nowMillis)
                !next.isLate && admission.missesFirstTokenTarget(next, nowMillis) ->
                    queues.moveToLateLane(next)
                !admission.fits(next, nowMillis) -> return
                else -> grant(next, nowMillis)
            }
        }
    }

    private fun grant(waiting: QueuedRequest, nowMillis: Long) {
        queues.serve(waiting)
        invariants.check(
            Tier.entries.none { it.outranks(waiting.request.tier) && queues.waiting(it) > 0 }
        ) {
            "request ${waiting.request.grantRequestId} of ${waiting.request.tier} was granted " +
                "before a higher tier"
        }
        addSlot(waiting.request, waiting.prefillTokens, nowMillis)
        state.circuitBreaker.onGranted(nowMillis)
        state.statedLimit.onSent()
        effects +=
            HomeEffect.Grant(
                waiting.request.entryId,
                waiting.request.grantRequestId,
                waiting.cachedPrefixTokens,
            )
    }

    private fun addSlot(request: GrantRequest, prefillTokens: Int, nowMillis: Long): GrantedSlot {
        val slot =
            GrantedSlot(
                request = request,
                contextTokens = admission.contextTokens(request),
                prefillTokens = prefillTokens,
                expectedPrefillMillis =
                    serviceTimes.prefillBacklogMillis(nowMillis) +
                        serviceTimes.prefillMillis(prefillTokens),
                grantedAtMillis = nowMillis,
                loadAtStart = slots.load.snapshot(nowMillis),
            )
        slots.add(slot, nowMillis)
        serviceTimes.onGranted(prefillTokens, nowMillis)
        state.prefixes.recordDispatch(request.prefixHashes)
        return slot
    }

    /** Preempts lower tiers for interactive requests that would otherwise start too late. */
    private fun preemptLowerTiers(nowMillis: Long) {
        if (queues.onTime(Tier.INTERACTIVE) == 0 || slots.countBelow(Tier.INTERACTIVE) == 0) return
        if (admission.unavailabilityReason(nowMillis) != null) return
        val urgent = queues.onTimeOf(Tier.INTERACTIVE).count { admission.isUrgent(it, nowMillis) }
        repeat((urgent - slots.preempting).coerceAtLeast(0)) {
            val victim = slots.victimFor(Tier.INTERACTIVE) ?: return
            slots.markPreempted(victim, nowMillis)
            closeLowerTiers(Tier.INTERACTIVE, nowMillis)
            effects += HomeEffect.Preempt(victim.request.entryId, victim.request.grantRequestId)
        }
    }

    private companion object {
        val OVERLOAD = setOf(RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE)
    }
}
