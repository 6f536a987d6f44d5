package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ColdTolerance
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.Dispatcher
import io.lavenderhinge.core.forwarding.FinishedAttempt
import io.lavenderhinge.core.forwarding.LoadReport
import io.lavenderhinge.core.forwarding.RolloutTracker
import io.lavenderhinge.core.forwarding.SchedulingFeatures
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServerOutcome
import io.lavenderhinge.core.forwarding.ServerStatement
import io.lavenderhinge.core.forwarding.UnidentifiedRuns
import io.lavenderhinge.core.quarantine.RequestQuarantine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/**
 * Resumes waiting coroutines with the slots that the [Dispatcher] grants. Confined to the traffic
 * thread.
 */
internal class SlotAllocator(
    failureDomain: String,
    private val loop: TrafficLoop,
    /** Rollout state that determines which servers are eligible for a request. */
    val rollouts: RolloutTracker = RolloutTracker(),
    /** Time until a server that says that it is leaving must not get requests any more. */
    drainMillis: Long = Dispatcher.DEFAULT_DRAIN_MILLIS,
    features: SchedulingFeatures = SchedulingFeatures(),
    /** Returns the size in tokens of the cache of each server of a service, if known. */
    cacheTokens: (service: String) -> Long? = { null },
    coldTolerance: ColdTolerance = ColdTolerance(),
) {
    private val dispatcher =
        Dispatcher(
            failureDomain,
            rollouts,
            drainMillis = drainMillis,
            features = features,
            cacheTokens = cacheTokens,
            coldTolerance = coldTolerance,
            toFleetMillis = { it + System.currentTimeMillis() - loop.nowMillis() },
        )

    /** Prompt parts that are kept away from the servers. */
    val quarantine: RequestQuarantine
        get() = dispatcher.quarantine

    /** Runs of servers whose responses do not identify their request. */
    val unidentifiedRuns = UnidentifiedRuns()

    private val waiting = HashMap<Long, Waiter>()
    private var lastRequestId = 0L
    private var isTickScheduled = false

    private class Waiter {
        val result = CompletableDeferred<DispatchEffect>()
        var effect: DispatchEffect? = null
    }

    /** Called when the server use of this instance may have changed. */
    var onChange: () -> Unit = {}

    /** Returns a new id for a [DispatchRequest]. */
    fun nextRequestId(): Long = ++lastRequestId

    /** Waits for a slot or a refusal. Cancellation removes the request from the queue. */
    suspend fun acquire(request: DispatchRequest): DispatchEffect {
        val waiter = Waiter()
        waiting[request.id] = waiter
        decide { dispatcher.submit(request, loop.nowMillis()) }
        onChange()
        scheduleTick()
        try {
            return waiter.result.await()
        } catch (e: CancellationException) {
            cancel(request, waiter)
            throw e
        }
    }

    /** Records that data was received from [server] for a request of [sentMillis]. */
    fun onServerActivity(server: ServerEntry, sentMillis: Long) =
        dispatcher.onActivity(server, sentMillis, loop.nowMillis())

    /** Sets the rules and listeners of the dispatcher. */
    fun configure(setUp: Dispatcher.() -> Unit) = dispatcher.setUp()

    /** Records what a response of [server] states about it, except for its limit. */
    fun onStatement(server: ServerEntry, statement: ServerStatement) =
        dispatcher.onStatement(server, statement, loop.nowMillis())

    /** Records that the store lists the instances [selfId], which is this one, and [others]. */
    fun onMembers(selfId: String, others: Set<String>) =
        dispatcher.onMembers(selfId, others, loop.nowMillis())

    /** Returns true if the quota of requests for [service] is charged only for what runs. */
    fun hasQuotaRefunds(service: String): Boolean = dispatcher.hasQuotaRefunds(service)

    /** Records the limit, if any, that a response of [server] states. */
    fun onRateLimit(server: ServerEntry, limitPerSecond: Double?) =
        dispatcher.onRateLimit(server, limitPerSecond, loop.nowMillis())

    /** Records the first event of a request. */
    fun onFirstEvent(server: ServerEntry, promptTokens: Double) {
        dispatcher.onFirstEvent(server.id, server.service, promptTokens)
        onChange()
    }

    /** Releases the slot of [attempt] and reports its outcome to the dispatcher. */
    fun release(attempt: FinishedAttempt) {
        decide { dispatcher.onFinished(attempt, loop.nowMillis()) }
        onChange()
    }

    /** Releases the slot of [grant], to which [request] has not been sent. */
    fun giveBack(grant: DispatchEffect.Assign, request: DispatchRequest) =
        release(
            FinishedAttempt(
                grant.server,
                ServerOutcome.Inconclusive,
                grant.uncachedTokens,
                isPromptPending = true,
                request.priority,
                request.promptParts,
                sentMillis = loop.nowMillis(),
                workspace = request.workspace,
            )
        )

    /** Replaces the list of servers. */
    fun onServers(servers: List<ServerEntry>) {
        unidentifiedRuns.retain(servers.mapTo(HashSet()) { it.run })
        decide { dispatcher.onServers(servers, loop.nowMillis()) }
    }

    /** Decides on the queued requests again after a change of the evacuations. */
    fun onEvacuationsChanged() = decide { dispatcher.serveQueues(loop.nowMillis()) }

    /** Returns the requests of this instance that are in flight in each of [failureDomains]. */
    fun inFlightIn(failureDomains: Set<String>): Map<String, Int> =
        failureDomains.associateWith(dispatcher::inFlightIn)

    /** Applies the load report of a peer. */
    fun onPeerReport(peer: String, report: LoadReport) = decide {
        dispatcher.onPeerReport(peer, report, loop.nowMillis())
    }

    /** Returns the load report for peers. */
    fun report(): LoadReport = dispatcher.report(loop.nowMillis())

    private fun cancel(request: DispatchRequest, waiter: Waiter) {
        waiting.remove(request.id)
        dispatcher.cancel(request.id)
        val effect = waiter.effect
        if (effect is DispatchEffect.Assign) giveBack(effect, request)
    }

    private fun decide(decision: () -> List<DispatchEffect>) =
        complete(loop.load.measured(TrafficActivity.DECISIONS, decision))

    private fun complete(effects: List<DispatchEffect>) =
        effects.forEach { effect ->
            waiting.remove(effect.requestId)?.let {
                it.effect = effect
                it.result.complete(effect)
            }
        }

    private fun scheduleTick() {
        if (isTickScheduled || !dispatcher.hasWaiting) return
        isTickScheduled = true
        loop.after(TICK_MILLIS) {
            isTickScheduled = false
            decide { dispatcher.serveQueues(loop.nowMillis()) }
            scheduleTick()
        }
    }

    private companion object {
        const val TICK_MILLIS = 10L
    }
}
