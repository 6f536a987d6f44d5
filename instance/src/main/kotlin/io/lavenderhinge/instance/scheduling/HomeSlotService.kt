package io.lavenderhinge.instance.scheduling

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.routing.RouterEffect
import io.lavenderhinge.core.routing.RouterEvent
import io.lavenderhinge.core.routing.ServerRank
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.routing.SlotRouter
import io.lavenderhinge.core.scheduling.GrantRequestKey
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeHost
import io.lavenderhinge.core.scheduling.HomeMessage
import io.lavenderhinge.core.scheduling.HomeStatus
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.Invariants
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Digest
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.ServerSummary
import java.util.concurrent.atomic.AtomicLong
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.async
import kotlinx.coroutines.suspendCancellableCoroutine
import org.slf4j.LoggerFactory

/**
 * Connects the slot router and the homes of this instance to its peer links.
 *
 * [instances] and [servers] return the current membership. They are called on the control thread,
 * to which all state of this class is confined.
 */
class HomeSlotService(
    private val links: PeerLinks,
    private val control: ControlThread,
    failureDomain: String,
    private val instances: () -> List<InstanceView>,
    private val servers: () -> List<ServerView>,
) : SlotService {
    private val violations = AtomicLong()
    private val invariants = Invariants(::onInvariantViolated)
    private val host = HomeHost(links.selfId, invariants = invariants)
    private val router =
        SlotRouter(links.selfId, failureDomain, control.random, invariants = invariants)
    private val waiting = HashMap<String, CancellableContinuation<Either<SlotRefusal, Slot>>>()
    private val held = HashMap<String, AcquiredSlot>()
    private val outbox = RetryingOutbox(links) { id -> instances().any { it.id == id } }
    private val pendingActions = ArrayDeque<() -> Unit>()
    private var isRunningActions = false
    private var knownInstances: List<InstanceView> = emptyList()
    private var knownServers: List<ServerView> = emptyList()

    /** Invariant violations since the start; any value other than zero indicates a bug. */
    val invariantViolations: Long
        get() = violations.get()

    /** Starts receiving frames and tracking the membership. */
    fun start() =
        control.execute {
            links.onFrame(::onFrame)
            links.onLinkLost { lost -> enqueue { onLinkLost(lost) } }
            tick()
            control.every(TICK_MILLIS) { tick() }
        }

    override suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot> =
        suspendCancellableCoroutine { caller ->
            caller.invokeOnCancellation { control.execute { withdraw(request.requestId) } }
            control.execute {
                if (!caller.isActive) return@execute
                waiting[request.requestId] = caller
                enqueue { routeEvent(RouterEvent.Requested(request)) }
            }
        }

    override fun loadReported(serverId: String, report: LoadReport) =
        control.execute { enqueue { sendToHome(serverId, HomeEvent.LoadReported(report)) } }

    override fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>) =
        control.execute {
            enqueue {
                sendToHome(serverId, HomeEvent.CacheChanged(events))
                routeEvent(RouterEvent.CacheChanged(serverId, events))
            }
        }

    override fun hostedServerIds(): Set<String> = host.hostedServerIds

    override fun summaries(): List<ServerSummary> =
        host.summaries(control.nowMillis()).map(FrameEncoder::encode)

    /** State of the homes on this instance, for the status page. Control thread only. */
    fun homes(): Map<String, HomeStatus> =
        host.hostedServerIds.associateWith { id ->
            checkNotNull(host.home(id)).status(control.nowMillis())
        }

    /** Ranks the backend servers for [request]. Control thread only. */
    fun explain(request: SlotRequest): List<ServerRank> =
        router.ranking.rank(request, control.nowMillis())

    /** Number of requests queued at the homes on this instance. Callable from any thread. */
    suspend fun waitingCount(): Int =
        control.scope.async { homes().values.sumOf { it.waiting.sum() } }.await()

    override fun shutdown() =
        control.execute {
            enqueue {
                log.info("home: refusing queued requests before shutdown")
                sendToEntries(host.close(control.nowMillis()))
                routeEvent(RouterEvent.Closed)
            }
        }

    private fun withdraw(requestId: String) {
        if (waiting.remove(requestId) == null) return
        enqueue { routeEvent(RouterEvent.Released(requestId)) }
    }

    private fun onFrame(fromInstanceId: String, frame: Frame) {
        if (frame.bodyCase == Frame.BodyCase.DIGEST) return onDigest(frame.digest)
        val message =
            FrameDecoder.decode(fromInstanceId, links.selfId, frame, control.nowMillis()) ?: return
        enqueue {
            when (message) {
                is SchedulingMessage.ToHome -> sendToHome(message.serverId, message.event)
                is SchedulingMessage.ToEntry ->
                    routeEvent(
                        RouterEvent.HomeAnswered(fromInstanceId, message.serverId, message.effect)
                    )
            }
        }
    }

    private fun onDigest(digest: Digest) {
        if (digest.serversCount == 0) return
        val summaries = digest.serversList.map(FrameDecoder::decode).toImmutableList()
        enqueue {
            sendToEntries(host.summariesReceived(summaries, control.nowMillis()))
            routeEvent(RouterEvent.SummariesReceived(summaries))
        }
    }

    private fun onLinkLost(instanceId: String) {
        log.info("home: lost link to instance {}; dropping its queued requests", instanceId)
        outbox.removeAll(instanceId)
        sendToEntries(host.linkLost(instanceId, control.nowMillis()))
        routeEvent(RouterEvent.LinkLost(instanceId))
    }

    private fun tick() = enqueue {
        updateMembership()
        outbox.retry()
        sendToEntries(host.tick(control.nowMillis()))
        routeEvent(RouterEvent.Tick)
    }

    private fun updateMembership() {
        val newInstances = instances()
        val newServers = servers()
        if (newInstances == knownInstances && newServers == knownServers) return
        knownInstances = newInstances
        knownServers = newServers
        sendToEntries(host.viewChanged(newInstances, newServers, control.nowMillis()))
        routeEvent(
            RouterEvent.ViewChanged(newInstances.toImmutableList(), newServers.toImmutableList())
        )
    }

    private fun sendToHome(serverId: String, event: HomeEvent) =
        sendToEntries(host.handle(serverId, event, control.nowMillis()))

    private fun sendToEntries(messages: List<HomeMessage>) {
        for (message in messages) {
            val effect = message.effect
            val frame = FrameEncoder.encode(message.serverId, effect)
            if (links.send(effect.entryId, frame)) continue
            when (effect) {
                // The entry was not told about the grant, so nothing will use it.
                is HomeEffect.Grant ->
                    enqueue {
                        sendToHome(
                            message.serverId,
                            HomeEvent.Released(
                                GrantRequestKey(effect.entryId, effect.grantRequestId)
                            ),
                        )
                    }
                is HomeEffect.Refuse -> outbox.add(effect.entryId, frame)
                is HomeEffect.Queued,
                is HomeEffect.Preempt -> Unit
            }
        }
    }

    private fun routeEvent(event: RouterEvent) {
        for (effect in router.handle(event, control.nowMillis())) {
            when (effect) {
                is RouterEffect.Send -> send(effect)
                is RouterEffect.Granted -> onGranted(effect)
                is RouterEffect.Refused ->
                    waiting.remove(effect.requestId)?.resume(effect.refusal.left()) { _, _, _ -> }
                is RouterEffect.Preempted -> held[effect.requestId]?.preempted?.complete(Unit)
            }
        }
    }

    private fun send(effect: RouterEffect.Send) {
        val event = effect.event
        val frame = FrameEncoder.encode(effect.serverId, event, control.nowMillis()) ?: return
        if (links.send(effect.homeId, frame)) return
        if (event !is HomeEvent.Requested) return outbox.add(effect.homeId, frame)
        val refusal =
            HomeEffect.Refuse(
                links.selfId,
                event.request.grantRequestId,
                RefusalReason.NOT_HOME,
                0,
                0,
            )
        enqueue { routeEvent(RouterEvent.HomeAnswered(effect.homeId, effect.serverId, refusal)) }
    }

    private fun onGranted(effect: RouterEffect.Granted) {
        val requestId = effect.requestId
        val slot =
            AcquiredSlot(
                requestId,
                effect.server,
                effect.cachedPrefixTokens,
                finish = { onSlotEnded(requestId, RouterEvent.Finished(requestId, it)) },
                returnUnused = { onSlotEnded(requestId, RouterEvent.Released(requestId)) },
            )
        held[requestId] = slot
        val caller = waiting.remove(requestId)
        if (caller == null) return slot.release()
        caller.resume(slot.right()) { _, _, _ -> slot.release() }
    }

    private fun onSlotEnded(requestId: String, event: RouterEvent) =
        control.execute {
            held.remove(requestId)
            enqueue { routeEvent(event) }
        }

    /**
     * Runs [action] after the current one. A frame to this instance itself is delivered inside
     * `send`; without the queue, its answer would overtake the remaining effects.
     */
    private fun enqueue(action: () -> Unit) {
        pendingActions.addLast(action)
        if (isRunningActions) return
        isRunningActions = true
        try {
            while (pendingActions.isNotEmpty()) pendingActions.removeFirst()()
        } finally {
            isRunningActions = false
        }
    }

    private fun onInvariantViolated(detail: String) {
        violations.incrementAndGet()
        log.error("home: invariant violated: {}", detail)
    }

    private companion object {
        const val TICK_MILLIS = 100L
        val log = LoggerFactory.getLogger(HomeSlotService::class.java)
    }
}
