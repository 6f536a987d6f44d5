package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.scheduling.GrantRequestKey
import io.lavenderhinge.core.scheduling.HomeDirectory
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.Invariants
import io.lavenderhinge.core.scheduling.RefusalReason
import kotlin.random.Random

/**
 * Finds a slot for each request of one entry, the instance that accepted the request. Tries the
 * best home first and a second one if the first queues the request. Before an interactive request
 * is shed, it requests the preemption of a lower tier.
 *
 * Deterministic for a given [random]. Each request ends with exactly one [RouterEffect.Granted] or
 * [RouterEffect.Refused], unless it is released first.
 */
class SlotRouter(
    private val selfId: String,
    failureDomain: String,
    private val random: Random,
    private val settings: RoutingSettings = RoutingSettings(),
    private val invariants: Invariants = Invariants(),
) {
    private val directory = HomeDirectory()
    private val selection = ServerSelection(failureDomain, settings)
    private val budget = RetryBudget()

    /** Ranking of the backend servers for a request, for operators. */
    val ranking = ServerRanking(selection, directory)
    private val refusals = RefusalPolicy(settings, random)
    private val pending = LinkedHashMap<String, PendingRequest>()
    private val held = HeldSlots(settings, directory, selection, ::send)
    private val grantRequests = OpenGrantRequests(selfId, random, ::send)
    private var isClosed = false
    private val effects = ArrayList<RouterEffect>()

    /** Handles [event] and returns the effects to execute, in order. */
    fun handle(event: RouterEvent, nowMillis: Long): List<RouterEffect> {
        effects.clear()
        when (event) {
            is RouterEvent.Requested -> onRequested(event.request, nowMillis)
            is RouterEvent.Released -> onReleased(event.requestId)
            is RouterEvent.Finished -> held.onFinished(event.requestId, event.result, nowMillis)
            is RouterEvent.HomeAnswered -> onHomeAnswered(event, nowMillis)
            is RouterEvent.LinkLost -> onLinkLost(event.instanceId, nowMillis)
            is RouterEvent.ViewChanged -> onViewChanged(event, nowMillis)
            is RouterEvent.SummariesReceived -> onSummariesReceived(event.summaries, nowMillis)
            is RouterEvent.CacheChanged ->
                selection.prefixes.applyCacheEvents(event.serverId, event.events)
            RouterEvent.Tick -> onTick(nowMillis)
            RouterEvent.Closed -> {
                isClosed = true
                pending.values.toList().forEach { shed(it, refusals.shutdown()) }
            }
        }
        return effects.toList()
    }

    private fun onRequested(request: SlotRequest, nowMillis: Long) {
        budget.recordRequest(request.workspace, nowMillis)
        val refusal =
            when {
                isClosed -> refusals.shutdown()
                request.attempt > 0 && !mayRetry(request, nowMillis) -> refusals.retryBudget()
                else -> null
            }
        if (refusal != null) {
            effects += RouterEffect.Refused(request.requestId, refusal)
            return
        }
        val waiting = PendingRequest(request)
        pending[request.requestId] = waiting
        proceed(waiting, nowMillis)
    }

    /**
     * Charges the retry budget. It never rejects interactive requests, since lower tiers may run.
     */
    private fun mayRetry(request: SlotRequest, nowMillis: Long): Boolean =
        budget.tryAcquire(request.workspace, nowMillis) || request.tier == Tier.INTERACTIVE

    /** Takes the next step for a request without a pending answer from a home. */
    private fun proceed(waiting: PendingRequest, nowMillis: Long) {
        if (waiting.openRequests.values.any { !it.isTimedOut }) return
        val best =
            if (waiting.grantRequestCount >= settings.maxGrantRequests(waiting.request.tier)) null
            else selection.best(waiting, nowMillis)
        when {
            best != null -> sendGrantRequest(waiting, best.server, false, nowMillis)
            waiting.openRequests.isNotEmpty() -> return
            !requestPreemption(waiting, nowMillis) -> endRound(waiting, nowMillis)
        }
    }

    private fun sendGrantRequest(
        waiting: PendingRequest,
        server: ServerStats,
        mayPreempt: Boolean,
        nowMillis: Long,
    ) {
        val serverId = server.view.id
        val homeId = directory.homeOf(serverId)
        waiting.grantRequestCount++
        if (homeId == null) {
            server.avoidUntil(nowMillis + settings.answerTimeoutMillis)
            waiting.refusals[serverId] = HomeEffect.Refuse(selfId, "", RefusalReason.NOT_HOME, 0, 0)
            return proceed(waiting, nowMillis)
        }
        grantRequests.send(waiting, serverId, homeId, mayPreempt, nowMillis)
    }

    /** Asks a home that serves a lower tier to preempt it. Returns false if there is none. */
    private fun requestPreemption(waiting: PendingRequest, nowMillis: Long): Boolean {
        if (waiting.request.tier != Tier.INTERACTIVE) return false
        val candidate =
            waiting.refusals
                .filter { it.value.lowerTierCount > 0 && it.key !in waiting.preemptionRequested }
                .maxByOrNull { it.value.lowerTierCount } ?: return false
        val server = selection[candidate.key] ?: return false
        waiting.preemptionRequested += candidate.key
        sendGrantRequest(waiting, server, true, nowMillis)
        return true
    }

    private fun endRound(waiting: PendingRequest, nowMillis: Long) {
        val request = waiting.request
        val refusal =
            if (selection.live(request).isEmpty()) refusals.noServer(request)
            else refusals.afterRound(waiting)
        val mayWait = refusals.mayWait(refusal, waiting, nowMillis)
        if (mayWait && budget.tryAcquire(request.workspace, nowMillis)) {
            waiting.startNextRound(nowMillis + refusals.backoffMillis(waiting))
            return
        }
        shed(waiting, refusal)
    }

    private fun shed(waiting: PendingRequest, refusal: SlotRefusal) {
        invariants.check(!refusals.violatesTierOrder(waiting)) {
            "request ${waiting.request.requestId} was shed while a home serves a lower tier"
        }
        pending.remove(waiting.request.requestId)
        grantRequests.releaseAll(waiting)
        effects += RouterEffect.Refused(waiting.request.requestId, refusal)
    }

    private fun onReleased(requestId: String) {
        pending.remove(requestId)?.let { grantRequests.releaseAll(it) }
        held.onReleased(requestId)
    }

    private fun onHomeAnswered(event: RouterEvent.HomeAnswered, nowMillis: Long) {
        val waiting = grantRequests.requestOf(event.message.grantRequestId)?.let { pending[it] }
        val open = waiting?.openRequests?.get(event.message.grantRequestId)
        when (val message = event.message) {
            is HomeEffect.Grant ->
                if (waiting == null || open == null) rejectGrant(event)
                else onGranted(waiting, open, message, nowMillis)
            is HomeEffect.Queued ->
                if (waiting != null && open != null) onQueued(waiting, open, message, nowMillis)
            is HomeEffect.Refuse ->
                if (waiting != null && open != null) onRefused(waiting, open, message, nowMillis)
            is HomeEffect.Preempt ->
                held.requestOf(message.grantRequestId)?.let {
                    effects += RouterEffect.Preempted(it)
                }
        }
    }

    /** Returns a grant whose request was withdrawn in the meantime. */
    private fun rejectGrant(event: RouterEvent.HomeAnswered) {
        if (held.requestOf(event.message.grantRequestId) != null) return
        send(
            event.homeId,
            event.serverId,
            HomeEvent.Released(GrantRequestKey(selfId, event.message.grantRequestId)),
        )
    }

    private fun onGranted(
        waiting: PendingRequest,
        open: OpenGrantRequest,
        grant: HomeEffect.Grant,
        nowMillis: Long,
    ) {
        val request = waiting.request
        grantRequests.remove(waiting, open)
        pending.remove(request.requestId)
        grantRequests.releaseAll(waiting)
        val server = selection[open.serverId]
        if (server == null) {
            send(open.homeId, open.serverId, HomeEvent.Released(open.request.key))
            pending[request.requestId] = waiting
            return proceed(waiting, nowMillis)
        }
        invariants.check(request.requestId !in held) { "${request.requestId} got two slots" }
        val prefillTokens = (request.promptTokens - grant.cachedPrefixTokens).coerceAtLeast(0)
        server.recordWait(request.tier, nowMillis - open.sentAtMillis, nowMillis)
        server.recordDispatch(prefillTokens, nowMillis)
        selection.prefixes.correct(open.serverId, request.prefixHashes, grant.cachedPrefixTokens)
        selection.prefixes.recordDispatch(open.serverId, waiting.prefixHashes)
        held.add(
            HeldSlot(request, open.request, open.serverId, open.homeId, prefillTokens, nowMillis)
        )
        effects += RouterEffect.Granted(request.requestId, server.view, grant.cachedPrefixTokens)
    }

    private fun onQueued(
        waiting: PendingRequest,
        open: OpenGrantRequest,
        message: HomeEffect.Queued,
        nowMillis: Long,
    ) {
        open.queuedWaitMillis = message.expectedWaitMillis
        open.isTimedOut = false
        selection[open.serverId]?.recordWait(
            waiting.request.tier,
            message.expectedWaitMillis,
            nowMillis,
        )
        if (
            waiting.openRequests.size > 1 ||
                waiting.grantRequestCount >= settings.maxGrantRequests(waiting.request.tier)
        )
            return
        val alternative = selection.best(waiting, nowMillis) ?: return
        sendGrantRequest(waiting, alternative.server, open.request.mayPreempt, nowMillis)
    }

    private fun onRefused(
        waiting: PendingRequest,
        open: OpenGrantRequest,
        message: HomeEffect.Refuse,
        nowMillis: Long,
    ) {
        grantRequests.remove(waiting, open)
        waiting.refusals[open.serverId] = message
        val server = selection[open.serverId]
        when (message.reason) {
            RefusalReason.SERVER_DOWN,
            RefusalReason.SERVER_LEAVING -> server?.avoidUntil(nowMillis + settings.avoidanceMillis)
            RefusalReason.NOT_HOME,
            RefusalReason.SHUTDOWN -> server?.avoidUntil(nowMillis + settings.answerTimeoutMillis)
            else -> server?.recordWait(waiting.request.tier, message.expectedWaitMillis, nowMillis)
        }
        proceed(waiting, nowMillis)
    }

    private fun onLinkLost(instanceId: String, nowMillis: Long) {
        directory.linkLost(instanceId, nowMillis)
        held.onLinkLost(instanceId)
        reassignHomes(nowMillis) { it.homeId == instanceId }
    }

    private fun onViewChanged(event: RouterEvent.ViewChanged, nowMillis: Long) {
        selection.viewChanged(event.servers)
        directory.viewChanged(event.instances, event.servers, nowMillis)
        reassignHomes(nowMillis) { false }
    }

    /** Registers held slots with new homes and retries requests with a lost or changed home. */
    private fun reassignHomes(nowMillis: Long, isLost: (OpenGrantRequest) -> Boolean) {
        held.registerWithNewHomes()
        for (waiting in pending.values.toList()) {
            for (open in waiting.openRequests.values.toList()) {
                if (!isLost(open) && directory.homeOf(open.serverId) == open.homeId) continue
                grantRequests.remove(waiting, open)
                if (!isLost(open))
                    send(open.homeId, open.serverId, HomeEvent.Released(open.request.key))
            }
            proceed(waiting, nowMillis)
        }
    }

    private fun onSummariesReceived(summaries: List<HomeSummary>, nowMillis: Long) {
        for (summary in summaries) {
            selection[summary.serverId]?.recordSummary(
                summary.sequence,
                summary.expectedWaitMillis,
                nowMillis,
            )
        }
    }

    private fun onTick(nowMillis: Long) {
        if (directory.tick(nowMillis)) reassignHomes(nowMillis) { false }
        budget.removeIdle(nowMillis)
        held.confirmGrants(nowMillis)
        for (waiting in pending.values.toList()) checkTimeouts(waiting, nowMillis)
    }

    private fun checkTimeouts(waiting: PendingRequest, nowMillis: Long) {
        if (nowMillis >= waiting.request.deadlineMillis) {
            return shed(waiting, refusals.deadline(waiting))
        }
        if (nowMillis < waiting.resumeAtMillis) return
        for (open in waiting.openRequests.values) {
            if (open.queuedWaitMillis != null || open.isTimedOut) continue
            if (nowMillis - open.sentAtMillis < settings.answerTimeoutMillis) continue
            open.isTimedOut = true
            selection[open.serverId]?.avoidUntil(nowMillis + settings.avoidanceMillis)
        }
        proceed(waiting, nowMillis)
    }

    private fun send(homeId: String, serverId: String, event: HomeEvent) {
        effects += RouterEffect.Send(homeId, serverId, event)
    }
}
