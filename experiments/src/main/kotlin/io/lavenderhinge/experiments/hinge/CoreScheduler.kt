package io.lavenderhinge.experiments.hinge

import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.routing.RouterEffect
import io.lavenderhinge.core.routing.RouterEvent
import io.lavenderhinge.core.routing.SlotRefusalReason
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.routing.SlotRouter
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeHost
import io.lavenderhinge.core.scheduling.HomeMessage
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.ServerHealth
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.experiments.scheduler.InstanceContext
import io.lavenderhinge.experiments.scheduler.InstanceScheduler
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import io.lavenderhinge.experiments.scheduler.SchedulerEffect
import io.lavenderhinge.experiments.scheduler.SchedulerEvent
import io.lavenderhinge.experiments.scheduler.ShedReason
import kotlinx.collections.immutable.toImmutableList

/** Runs the entry's router and the homes of the real core on one instance of the harness. */
internal class CoreScheduler(private val context: InstanceContext) : InstanceScheduler {
    private class Tracked(val request: ScheduledRequest) {
        var attempt = 0
        var serverId: String? = null
        var dispatchedAt = 0L
        var firstTokenMillis = 0L
        var isSuspended = false
    }

    private val host = HomeHost(context.instanceId)
    private val router = SlotRouter(context.instanceId, context.failureDomain, context.random)
    private val requests = HashMap<String, Tracked>()
    private val effects = ArrayList<SchedulerEffect>()
    private var peers: List<ListedMember> = emptyList()
    private var watched: Set<String> = emptySet()
    private var seconds = 0L

    override fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect> {
        effects.clear()
        when (event) {
            is SchedulerEvent.Started -> started(nowMillis)
            is SchedulerEvent.MembersListed -> listed(event.members, nowMillis)
            is SchedulerEvent.Arrived -> arrived(event.request, nowMillis)
            is SchedulerEvent.MessageReceived -> received(event, nowMillis)
            is SchedulerEvent.PeerLost -> peerLost(event.instanceId, nowMillis)
            is SchedulerEvent.PeerRestored -> Unit
            is SchedulerEvent.TimerFired -> timerFired(event.timerId, nowMillis)
            is SchedulerEvent.FirstToken ->
                requests[event.requestId]?.firstTokenMillis = event.firstTokenMillis
            is SchedulerEvent.Completed -> completed(event, nowMillis)
            is SchedulerEvent.Failed -> failed(event, nowMillis)
            is SchedulerEvent.Suspended -> suspended(event.requestId, nowMillis)
            is SchedulerEvent.CallerGone -> callerGone(event.requestId, nowMillis)
            is SchedulerEvent.LoadReported ->
                send(host.handle(event.serverId, HomeEvent.LoadReported(event.report), nowMillis))
            is SchedulerEvent.CacheChanged -> cacheChanged(event, nowMillis)
        }
        watch()
        return effects.toList()
    }

    private fun started(nowMillis: Long) {
        listed(context.members, nowMillis)
        // Instances do not tick in step.
        timer(TICK, nowMillis + context.random.nextLong(TICK_MILLIS))
        timer(GOSSIP, nowMillis + context.random.nextLong(GOSSIP_MILLIS))
    }

    private fun listed(members: List<ListedMember>, nowMillis: Long) {
        val instances = members.filter { it.kind == MemberKind.INSTANCE && !it.leaving }
        peers = instances.filter { it.id != context.instanceId }
        val views = instances.map { InstanceView(it.id, it.failureDomain) }.toImmutableList()
        val servers = members.filter { it.kind != MemberKind.INSTANCE }.map(::serverView)
        send(host.viewChanged(views, servers, nowMillis))
        route(RouterEvent.ViewChanged(views, servers.toImmutableList()), nowMillis)
    }

    private fun serverView(member: ListedMember) =
        ServerView(
            id = member.id,
            address = member.address,
            failureDomain = member.failureDomain,
            target =
                if (member.kind == MemberKind.MODEL_ENGINE) Target.Model(member.serves)
                else Target.Service(member.serves),
            version = member.version,
            health = ServerHealth(if (member.leaving) ServerState.LEAVING else ServerState.LIVE),
            hardwareGeneration = member.hardwareGeneration,
        )

    private fun arrived(request: ScheduledRequest, nowMillis: Long) {
        val tracked = Tracked(request)
        requests[request.id] = tracked
        ask(tracked, nowMillis)
    }

    private fun ask(tracked: Tracked, nowMillis: Long) {
        val request = tracked.request
        route(
            RouterEvent.Requested(
                SlotRequest(
                    requestId = request.id,
                    target = request.target,
                    version = request.version,
                    tier = request.tier,
                    workspace = request.workspace,
                    weight = request.weight,
                    deadlineMillis = request.deadlineMillis,
                    promptTokens = request.promptTokens,
                    outputTokens = request.maxOutputTokens,
                    prefixHashes = request.prefixHashes,
                    firstTokenDueMillis = firstTokenDue(tracked),
                    onlyServerId = tracked.serverId.takeIf { tracked.isSuspended },
                    attempt = tracked.attempt,
                )
            ),
            nowMillis,
        )
    }

    private fun firstTokenDue(tracked: Tracked): Long =
        if (tracked.firstTokenMillis > 0 || tracked.request.target is Target.Service) Long.MAX_VALUE
        else tracked.request.arrivalMillis + tracked.request.targetFirstTokenMillis

    private fun received(event: SchedulerEvent.MessageReceived, nowMillis: Long) {
        when (val message = event.message) {
            is ToHome -> send(host.handle(message.serverId, message.event, nowMillis))
            is ToEntry ->
                route(
                    RouterEvent.HomeAnswered(
                        event.fromInstanceId,
                        message.serverId,
                        message.effect,
                    ),
                    nowMillis,
                )
            is Summaries -> {
                send(host.summariesReceived(message.summaries, nowMillis))
                route(RouterEvent.SummariesReceived(message.summaries.toImmutableList()), nowMillis)
            }
        }
    }

    private fun peerLost(instanceId: String, nowMillis: Long) {
        send(host.linkLost(instanceId, nowMillis))
        route(RouterEvent.LinkLost(instanceId), nowMillis)
    }

    private fun timerFired(timerId: String, nowMillis: Long) {
        if (timerId == TICK) {
            send(host.tick(nowMillis))
            route(RouterEvent.Tick, nowMillis)
            timer(TICK, nowMillis + TICK_MILLIS)
        } else {
            gossip(nowMillis)
            timer(GOSSIP, nowMillis + GOSSIP_MILLIS)
        }
    }

    /** As settings digests do: one peer of the domain every second, one outside every 5 s. */
    private fun gossip(nowMillis: Long) {
        val summaries = host.summaries(nowMillis)
        if (summaries.isEmpty()) return
        val (near, far) = peers.partition { it.failureDomain == context.failureDomain }
        val receivers = ArrayList<ListedMember>()
        if (near.isNotEmpty()) receivers += near.random(context.random)
        if (far.isNotEmpty() && seconds++ % FAR_EVERY == 0L) receivers += far.random(context.random)
        for (peer in receivers) effects += SchedulerEffect.Send(peer.id, Summaries(summaries))
    }

    private fun completed(event: SchedulerEvent.Completed, nowMillis: Long) {
        val tracked = requests.remove(event.requestId) ?: return
        val isService = tracked.request.target is Target.Service
        val result =
            SlotResult(
                resultClass = ResultClass.OK,
                firstTokenMillis =
                    if (isService) nowMillis - tracked.dispatchedAt else tracked.firstTokenMillis,
                betweenTokensMicros = (event.betweenTokensMillis * 1_000).toLong(),
                promptTokens = tracked.request.promptTokens,
                outputTokens = event.outputTokens,
            )
        route(RouterEvent.Finished(event.requestId, result), nowMillis)
    }

    private fun failed(event: SchedulerEvent.Failed, nowMillis: Long) {
        val tracked = requests[event.requestId] ?: return
        val fault = event.fault
        val resultClass =
            when {
                fault is EngineFault.Refused && fault.draining -> ResultClass.DRAINING
                fault is EngineFault.Refused -> ResultClass.SERVER_ERROR
                else -> ResultClass.CONNECTION_FAILED
            }
        route(RouterEvent.Finished(event.requestId, SlotResult(resultClass)), nowMillis)
        if (fault is EngineFault.OutcomeUnknown) {
            requests.remove(event.requestId)
            return
        }
        tracked.attempt++
        tracked.isSuspended = false
        ask(tracked, nowMillis)
    }

    private fun suspended(requestId: String, nowMillis: Long) {
        val tracked = requests[requestId] ?: return
        tracked.isSuspended = true
        route(RouterEvent.Finished(requestId, SlotResult(ResultClass.CANCELLED)), nowMillis)
        ask(tracked, nowMillis)
    }

    private fun callerGone(requestId: String, nowMillis: Long) {
        requests.remove(requestId) ?: return
        route(RouterEvent.Finished(requestId, SlotResult(ResultClass.TIMEOUT)), nowMillis)
        route(RouterEvent.Released(requestId), nowMillis)
    }

    private fun cacheChanged(event: SchedulerEvent.CacheChanged, nowMillis: Long) {
        send(host.handle(event.serverId, HomeEvent.CacheChanged(event.events), nowMillis))
        route(RouterEvent.CacheChanged(event.serverId, event.events), nowMillis)
    }

    private fun route(event: RouterEvent, nowMillis: Long) {
        for (effect in router.handle(event, nowMillis)) {
            when (effect) {
                is RouterEffect.Send ->
                    effects +=
                        SchedulerEffect.Send(effect.homeId, ToHome(effect.serverId, effect.event))
                is RouterEffect.Granted -> granted(effect, nowMillis)
                is RouterEffect.Refused -> refused(effect)
                is RouterEffect.Preempted -> preempted(effect.requestId)
            }
        }
    }

    private fun granted(effect: RouterEffect.Granted, nowMillis: Long) {
        val tracked = requests[effect.requestId] ?: return
        tracked.dispatchedAt = nowMillis
        tracked.serverId = effect.server.id
        if (tracked.isSuspended) {
            tracked.isSuspended = false
            effects += SchedulerEffect.Resume(effect.requestId)
        } else {
            effects += SchedulerEffect.Dispatch(effect.requestId, effect.server.id)
        }
    }

    private fun refused(effect: RouterEffect.Refused) {
        val tracked = requests.remove(effect.requestId) ?: return
        effects +=
            if (tracked.isSuspended) {
                SchedulerEffect.Cancel(effect.requestId, ShedReason.PREEMPTED)
            } else {
                SchedulerEffect.Refuse(effect.requestId, shedReason(effect.refusal.reason))
            }
    }

    private fun preempted(requestId: String) {
        val request = requests[requestId]?.request ?: return
        if (request.target is Target.Model) effects += SchedulerEffect.Suspend(requestId)
    }

    private fun shedReason(reason: SlotRefusalReason): ShedReason =
        when (reason) {
            SlotRefusalReason.NO_SERVER -> ShedReason.SERVER_DOWN
            SlotRefusalReason.DEADLINE -> ShedReason.DEADLINE
            SlotRefusalReason.OVERLOADED -> ShedReason.QUEUE_FULL
            SlotRefusalReason.RETRY_BUDGET -> ShedReason.RETRY_BUDGET
            SlotRefusalReason.SHUTDOWN -> ShedReason.SHUTDOWN
        }

    private fun send(messages: List<HomeMessage>) {
        for (message in messages) {
            effects +=
                SchedulerEffect.Send(
                    message.effect.entryId,
                    ToEntry(message.serverId, message.effect),
                )
        }
    }

    private fun watch() {
        val hosted = host.hostedServerIds
        if (hosted == watched) return
        watched = hosted
        effects += SchedulerEffect.WatchServers(hosted)
    }

    private fun timer(timerId: String, atMillis: Long) {
        effects += SchedulerEffect.SetTimer(timerId, atMillis)
    }

    private companion object {
        const val TICK = "tick"
        const val GOSSIP = "gossip"
        const val TICK_MILLIS = 100L
        const val GOSSIP_MILLIS = 1_000L
        const val FAR_EVERY = 5L
    }
}
