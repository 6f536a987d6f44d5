package io.lavenderhinge.instance.scheduling

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.routing.EntryEffect
import io.lavenderhinge.core.routing.EntryEvent
import io.lavenderhinge.core.routing.EntryRouter
import io.lavenderhinge.core.routing.ServerStanding
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.AskKey
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
 * Connects the router and the homes of the core to the links of this instance.
 *
 * [instances] and [servers] return the current view of the membership and are read on the control
 * thread, as is all state here.
 */
class HomeSlotService(
    private val links: PeerLinks,
    private val control: ControlThread,
    failureDomain: String,
    private val instances: () -> List<InstanceView>,
    private val servers: () -> List<ServerView>,
) : SlotService {
    private val violations = AtomicLong()
    private val invariants = Invariants(::violated)
    private val host = HomeHost(links.selfId, invariants = invariants)
    private val router =
        EntryRouter(links.selfId, failureDomain, control.random, invariants = invariants)
    private val waiting = HashMap<String, CancellableContinuation<Either<SlotRefusal, Slot>>>()
    private val held = HashMap<String, HeldByCaller>()
    private val unsent = ArrayDeque<Unsent>()
    private val work = ArrayDeque<() -> Unit>()
    private var isWorking = false
    private var knownInstances: List<InstanceView> = emptyList()
    private var knownServers: List<ServerView> = emptyList()

    private class Unsent(val instanceId: String, val frame: Frame)

    /** Violated invariants since the start; anything but zero is a fault of this program. */
    val invariantViolations: Long
        get() = violations.get()

    /** Begins to receive frames and to follow the membership. */
    fun start() =
        control.execute {
            links.onFrame(::received)
            links.onLinkLost { lost -> enqueue { linkLost(lost) } }
            tick()
            control.every(TICK_MILLIS) { tick() }
        }

    override suspend fun acquire(request: SlotRequest): Either<SlotRefusal, Slot> =
        suspendCancellableCoroutine { caller ->
            caller.invokeOnCancellation { control.execute { withdraw(request.requestId) } }
            control.execute {
                if (!caller.isActive) return@execute
                waiting[request.requestId] = caller
                enqueue { route(EntryEvent.Requested(request)) }
            }
        }

    override fun loadReported(serverId: String, report: LoadReport) =
        control.execute { enqueue { toHost(serverId, HomeEvent.LoadReported(report)) } }

    override fun cacheChanged(serverId: String, events: ImmutableList<CacheEvent>) =
        control.execute {
            enqueue {
                toHost(serverId, HomeEvent.CacheChanged(events))
                route(EntryEvent.CacheChanged(serverId, events))
            }
        }

    override fun hostedServerIds(): Set<String> = host.hostedServerIds

    override fun summaries(): List<ServerSummary> =
        host.summaries(control.nowMillis()).map(FrameEncoder::encode)

    /** State of the homes here, for the status page; control thread only. */
    fun homes(): Map<String, HomeStatus> =
        host.hostedServerIds.associateWith { id ->
            checkNotNull(host.home(id)).status(control.nowMillis())
        }

    /** Where [request] would go now; control thread only. */
    fun explain(request: SlotRequest): List<ServerStanding> =
        router.standings.of(request, control.nowMillis())

    /** Requests that wait at the homes here; callable from any thread. */
    suspend fun waitingCount(): Int =
        control.scope.async { homes().values.sumOf { it.waiting.sum() } }.await()

    override fun shutdown() =
        control.execute {
            enqueue {
                log.info("home: handing waiting requests back before shutdown")
                deliver(host.close(control.nowMillis()))
                route(EntryEvent.Closed)
            }
        }

    private fun withdraw(requestId: String) {
        if (waiting.remove(requestId) == null) return
        enqueue { route(EntryEvent.Released(requestId)) }
    }

    private fun received(fromInstanceId: String, frame: Frame) {
        if (frame.bodyCase == Frame.BodyCase.DIGEST) return summarized(frame.digest)
        val message =
            FrameDecoder.decode(fromInstanceId, links.selfId, frame, control.nowMillis()) ?: return
        enqueue {
            when (message) {
                is SchedulingMessage.ToHome -> toHost(message.serverId, message.event)
                is SchedulingMessage.ToEntry ->
                    route(EntryEvent.HomeAnswered(fromInstanceId, message.serverId, message.effect))
            }
        }
    }

    private fun summarized(digest: Digest) {
        if (digest.serversCount == 0) return
        val summaries = digest.serversList.map(FrameDecoder::decode).toImmutableList()
        enqueue {
            deliver(host.summariesReceived(summaries, control.nowMillis()))
            route(EntryEvent.SummariesReceived(summaries))
        }
    }

    private fun linkLost(instanceId: String) {
        log.info("home: link to instance {} broke; its waiting requests are dropped", instanceId)
        unsent.removeIf { it.instanceId == instanceId }
        deliver(host.linkLost(instanceId, control.nowMillis()))
        route(EntryEvent.LinkLost(instanceId))
    }

    private fun tick() = enqueue {
        followMembership()
        repeat(unsent.size) {
            val next = unsent.removeFirst()
            if (!links.send(next.instanceId, next.frame)) keep(next.instanceId, next.frame)
        }
        deliver(host.tick(control.nowMillis()))
        route(EntryEvent.Tick)
    }

    private fun followMembership() {
        val newInstances = instances()
        val newServers = servers()
        if (newInstances == knownInstances && newServers == knownServers) return
        knownInstances = newInstances
        knownServers = newServers
        deliver(host.viewChanged(newInstances, newServers, control.nowMillis()))
        route(EntryEvent.ViewChanged(newInstances.toImmutableList(), newServers.toImmutableList()))
    }

    private fun toHost(serverId: String, event: HomeEvent) =
        deliver(host.handle(serverId, event, control.nowMillis()))

    private fun deliver(messages: List<HomeMessage>) {
        for (message in messages) {
            val effect = message.effect
            val frame = FrameEncoder.encode(message.serverId, effect)
            if (links.send(effect.entryId, frame)) continue
            when (effect) {
                // The entry does not learn of its grant, so nothing will run under it.
                is HomeEffect.Grant ->
                    enqueue {
                        toHost(
                            message.serverId,
                            HomeEvent.Released(AskKey(effect.entryId, effect.askId)),
                        )
                    }
                is HomeEffect.Refuse -> keep(effect.entryId, frame)
                is HomeEffect.Queued,
                is HomeEffect.Preempt -> Unit
            }
        }
    }

    private fun route(event: EntryEvent) {
        for (effect in router.handle(event, control.nowMillis())) {
            when (effect) {
                is EntryEffect.Send -> send(effect)
                is EntryEffect.Granted -> granted(effect)
                is EntryEffect.Refused ->
                    waiting.remove(effect.requestId)?.resume(effect.refusal.left()) { _, _, _ -> }
                is EntryEffect.Preempted -> held[effect.requestId]?.preempted?.complete(Unit)
            }
        }
    }

    private fun send(effect: EntryEffect.Send) {
        val event = effect.event
        val frame = FrameEncoder.encode(effect.serverId, event, control.nowMillis()) ?: return
        if (links.send(effect.homeId, frame)) return
        if (event !is HomeEvent.Asked) return keep(effect.homeId, frame)
        val refusal = HomeEffect.Refuse(links.selfId, event.ask.askId, RefusalReason.NOT_HOME, 0, 0)
        enqueue { route(EntryEvent.HomeAnswered(effect.homeId, effect.serverId, refusal)) }
    }

    private fun granted(effect: EntryEffect.Granted) {
        val requestId = effect.requestId
        val slot =
            HeldByCaller(
                requestId,
                effect.server,
                effect.cachedPrefixTokens,
                finish = { ended(requestId, EntryEvent.Finished(requestId, it)) },
                giveBack = { ended(requestId, EntryEvent.Released(requestId)) },
            )
        held[requestId] = slot
        val caller = waiting.remove(requestId)
        if (caller == null) return slot.release()
        caller.resume(slot.right()) { _, _, _ -> slot.release() }
    }

    private fun ended(requestId: String, event: EntryEvent) =
        control.execute {
            held.remove(requestId)
            enqueue { route(event) }
        }

    /** Keeps a message that must arrive for the next tick. A broken link makes it void. */
    private fun keep(instanceId: String, frame: Frame) {
        if (instances().none { it.id == instanceId }) return
        if (unsent.size >= MAX_UNSENT) unsent.removeFirst()
        unsent.addLast(Unsent(instanceId, frame))
    }

    /**
     * Runs [action] after the one in progress. A frame to this instance itself is delivered inside
     * `send`; without the queue its answer would overtake the effects not yet executed.
     */
    private fun enqueue(action: () -> Unit) {
        work.addLast(action)
        if (isWorking) return
        isWorking = true
        try {
            while (work.isNotEmpty()) work.removeFirst()()
        } finally {
            isWorking = false
        }
    }

    private fun violated(detail: String) {
        violations.incrementAndGet()
        log.error("home: invariant violated: {}", detail)
    }

    private companion object {
        const val TICK_MILLIS = 100L
        const val MAX_UNSENT = 10_000
        val log = LoggerFactory.getLogger(HomeSlotService::class.java)
    }
}
