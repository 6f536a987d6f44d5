package io.lavenderhinge.experiments.core

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

/** Runs the router and the homes of the production core on one simulated instance. */
internal class CoreScheduler(private val context: InstanceContext) : InstanceScheduler {
    private class RequestState(val request: ScheduledRequest) {
        var attempt = 0
        var serverId: String? = null
        var dispatchedAtMillis = 0L
        var firstTokenMillis = 0L
        var isSuspended = false
    }

    private val homeHost = HomeHost(context.instanceId)
    private val router = SlotRouter(context.instanceId, context.failureDomain, context.random)
    private val requests = HashMap<String, RequestState>()
    private val effects = ArrayList<SchedulerEffect>()
    private var peers: List<ListedMember> = emptyList()
    private var watchedServerIds: Set<String> = emptySet()
    private var gossipRounds = 0L

    override fun handle(event: SchedulerEvent, nowMillis: Long): List<SchedulerEffect> {
        effects.clear()
        when (event) {
            is SchedulerEvent.Started -> start(nowMillis)
            is SchedulerEvent.MembersListed -> updateMembers(event.members, nowMillis)
            is SchedulerEvent.RequestArrived -> handleArrival(event.request, nowMillis)
            is SchedulerEvent.MessageReceived -> handleMessage(event, nowMillis)
            is SchedulerEvent.PeerLost -> handlePeerLoss(event.instanceId, nowMillis)
            is SchedulerEvent.PeerRestored -> Unit
            is SchedulerEvent.TimerFired -> handleTimer(event.timerId, nowMillis)
            is SchedulerEvent.FirstToken ->
                requests[event.requestId]?.firstTokenMillis = event.firstTokenMillis
            is SchedulerEvent.Completed -> handleCompletion(event, nowMillis)
            is SchedulerEvent.Failed -> handleFailure(event, nowMillis)
            is SchedulerEvent.Suspended -> handleSuspension(event.requestId, nowMillis)
            is SchedulerEvent.CallerDisconnected -> handleDisconnect(event.requestId, nowMillis)
            is SchedulerEvent.LoadReported ->
                sendToEntries(
                    homeHost.handle(event.serverId, HomeEvent.LoadReported(event.report), nowMillis)
                )
            is SchedulerEvent.CacheChanged -> handleCacheChange(event, nowMillis)
        }
        updateWatchedServers()
        return effects.toList()
    }

    private fun start(nowMillis: Long) {
        updateMembers(context.members, nowMillis)
        // Random offsets keep the timers of the instances from firing at the same time.
        setTimer(TICK, nowMillis + context.random.nextLong(TICK_MILLIS))
        setTimer(GOSSIP, nowMillis + context.random.nextLong(GOSSIP_MILLIS))
    }

    private fun updateMembers(members: List<ListedMember>, nowMillis: Long) {
        val instances = members.filter { it.kind == MemberKind.INSTANCE && !it.leaving }
        peers = instances.filter { it.id != context.instanceId }
        val views = instances.map { InstanceView(it.id, it.failureDomain) }.toImmutableList()
        val servers = members.filter { it.kind != MemberKind.INSTANCE }.map(::serverView)
        sendToEntries(homeHost.viewChanged(views, servers, nowMillis))
        passToRouter(RouterEvent.ViewChanged(views, servers.toImmutableList()), nowMillis)
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

    private fun handleArrival(request: ScheduledRequest, nowMillis: Long) {
        val state = RequestState(request)
        requests[request.id] = state
        requestSlot(state, nowMillis)
    }

    private fun requestSlot(state: RequestState, nowMillis: Long) {
        val request = state.request
        passToRouter(
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
                    firstTokenDueMillis = firstTokenDue(state),
                    onlyServerId = state.serverId.takeIf { state.isSuspended },
                    attempt = state.attempt,
                )
            ),
            nowMillis,
        )
    }

    private fun firstTokenDue(state: RequestState): Long =
        if (state.firstTokenMillis > 0 || state.request.target is Target.Service) Long.MAX_VALUE
        else state.request.arrivalMillis + state.request.targetFirstTokenMillis

    private fun handleMessage(event: SchedulerEvent.MessageReceived, nowMillis: Long) {
        when (val message = event.message) {
            is EntryToHome ->
                sendToEntries(homeHost.handle(message.serverId, message.event, nowMillis))
            is HomeToEntry ->
                passToRouter(
                    RouterEvent.HomeAnswered(
                        event.fromInstanceId,
                        message.serverId,
                        message.effect,
                    ),
                    nowMillis,
                )
            is HomeSummaries -> {
                sendToEntries(homeHost.summariesReceived(message.summaries, nowMillis))
                passToRouter(
                    RouterEvent.SummariesReceived(message.summaries.toImmutableList()),
                    nowMillis,
                )
            }
        }
    }

    private fun handlePeerLoss(instanceId: String, nowMillis: Long) {
        sendToEntries(homeHost.linkLost(instanceId, nowMillis))
        passToRouter(RouterEvent.LinkLost(instanceId), nowMillis)
    }

    private fun handleTimer(timerId: String, nowMillis: Long) {
        if (timerId == TICK) {
            sendToEntries(homeHost.tick(nowMillis))
            passToRouter(RouterEvent.Tick, nowMillis)
            setTimer(TICK, nowMillis + TICK_MILLIS)
        } else {
            gossip(nowMillis)
            setTimer(GOSSIP, nowMillis + GOSSIP_MILLIS)
        }
    }

    /** Follows the settings digests: one local peer every second, one remote peer every 5 s. */
    private fun gossip(nowMillis: Long) {
        val summaries = homeHost.summaries(nowMillis)
        if (summaries.isEmpty()) return
        val (local, remote) = peers.partition { it.failureDomain == context.failureDomain }
        val receivers = ArrayList<ListedMember>()
        if (local.isNotEmpty()) receivers += local.random(context.random)
        if (remote.isNotEmpty() && gossipRounds++ % REMOTE_GOSSIP_INTERVAL_ROUNDS == 0L)
            receivers += remote.random(context.random)
        for (peer in receivers) effects += SchedulerEffect.Send(peer.id, HomeSummaries(summaries))
    }

    private fun handleCompletion(event: SchedulerEvent.Completed, nowMillis: Long) {
        val state = requests.remove(event.requestId) ?: return
        val isService = state.request.target is Target.Service
        val result =
            SlotResult(
                resultClass = ResultClass.OK,
                firstTokenMillis =
                    if (isService) nowMillis - state.dispatchedAtMillis else state.firstTokenMillis,
                betweenTokensMicros = (event.betweenTokensMillis * 1_000).toLong(),
                promptTokens = state.request.promptTokens,
                outputTokens = event.outputTokens,
            )
        passToRouter(RouterEvent.Finished(event.requestId, result), nowMillis)
    }

    private fun handleFailure(event: SchedulerEvent.Failed, nowMillis: Long) {
        val state = requests[event.requestId] ?: return
        val fault = event.fault
        val resultClass =
            when {
                fault is EngineFault.Refused && fault.draining -> ResultClass.DRAINING
                fault is EngineFault.Refused -> ResultClass.SERVER_ERROR
                else -> ResultClass.CONNECTION_FAILED
            }
        passToRouter(RouterEvent.Finished(event.requestId, SlotResult(resultClass)), nowMillis)
        if (fault is EngineFault.OutcomeUnknown) {
            requests.remove(event.requestId)
            return
        }
        state.attempt++
        state.isSuspended = false
        requestSlot(state, nowMillis)
    }

    private fun handleSuspension(requestId: String, nowMillis: Long) {
        val state = requests[requestId] ?: return
        state.isSuspended = true
        passToRouter(RouterEvent.Finished(requestId, SlotResult(ResultClass.CANCELLED)), nowMillis)
        requestSlot(state, nowMillis)
    }

    private fun handleDisconnect(requestId: String, nowMillis: Long) {
        requests.remove(requestId) ?: return
        passToRouter(RouterEvent.Finished(requestId, SlotResult(ResultClass.TIMEOUT)), nowMillis)
        passToRouter(RouterEvent.Released(requestId), nowMillis)
    }

    private fun handleCacheChange(event: SchedulerEvent.CacheChanged, nowMillis: Long) {
        sendToEntries(
            homeHost.handle(event.serverId, HomeEvent.CacheChanged(event.events), nowMillis)
        )
        passToRouter(RouterEvent.CacheChanged(event.serverId, event.events), nowMillis)
    }

    private fun passToRouter(event: RouterEvent, nowMillis: Long) {
        for (effect in router.handle(event, nowMillis)) {
            when (effect) {
                is RouterEffect.Send ->
                    effects +=
                        SchedulerEffect.Send(
                            effect.homeId,
                            EntryToHome(effect.serverId, effect.event),
                        )
                is RouterEffect.Granted -> handleGrant(effect, nowMillis)
                is RouterEffect.Refused -> handleRefusal(effect)
                is RouterEffect.Preempted -> handlePreemption(effect.requestId)
            }
        }
    }

    private fun handleGrant(effect: RouterEffect.Granted, nowMillis: Long) {
        val state = requests[effect.requestId] ?: return
        state.dispatchedAtMillis = nowMillis
        state.serverId = effect.server.id
        if (state.isSuspended) {
            state.isSuspended = false
            effects += SchedulerEffect.Resume(effect.requestId)
        } else {
            effects += SchedulerEffect.Dispatch(effect.requestId, effect.server.id)
        }
    }

    private fun handleRefusal(effect: RouterEffect.Refused) {
        val state = requests.remove(effect.requestId) ?: return
        effects +=
            if (state.isSuspended) {
                SchedulerEffect.Cancel(effect.requestId, ShedReason.PREEMPTED)
            } else {
                SchedulerEffect.Refuse(effect.requestId, shedReason(effect.refusal.reason))
            }
    }

    private fun handlePreemption(requestId: String) {
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

    private fun sendToEntries(messages: List<HomeMessage>) {
        for (message in messages) {
            effects +=
                SchedulerEffect.Send(
                    message.effect.entryId,
                    HomeToEntry(message.serverId, message.effect),
                )
        }
    }

    private fun updateWatchedServers() {
        val hosted = homeHost.hostedServerIds
        if (hosted == watchedServerIds) return
        watchedServerIds = hosted
        effects += SchedulerEffect.WatchServers(hosted)
    }

    private fun setTimer(timerId: String, atMillis: Long) {
        effects += SchedulerEffect.SetTimer(timerId, atMillis)
    }

    private companion object {
        const val TICK = "tick"
        const val GOSSIP = "gossip"
        const val TICK_MILLIS = 100L
        const val GOSSIP_MILLIS = 1_000L
        const val REMOTE_GOSSIP_INTERVAL_ROUNDS = 5L
    }
}
