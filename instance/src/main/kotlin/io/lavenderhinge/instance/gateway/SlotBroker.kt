package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.Dispatcher
import io.lavenderhinge.core.forwarding.LoadReport
import io.lavenderhinge.core.forwarding.RolloutTracker
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServerOutcome
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/**
 * Hands the slots that the [Dispatcher] grants to waiting coroutines. Confined to the traffic
 * thread.
 */
internal class SlotBroker(
    failureDomain: String,
    private val loop: TrafficLoop,
    /** The rollouts that decide which servers a request may go to. */
    val rollouts: RolloutTracker = RolloutTracker(),
) {
    private val dispatcher = Dispatcher(failureDomain, rollouts)
    private val waiting = HashMap<Long, Waiter>()
    private var lastAskId = 0L
    private var isTickScheduled = false

    private class Waiter {
        val answer = CompletableDeferred<DispatchEffect>()
        var effect: DispatchEffect? = null
    }

    /** Called when what this instance uses of the servers has changed. */
    var onChange: () -> Unit = {}

    /** An id for the next ask. */
    fun nextAskId(): Long = ++lastAskId

    /** Waits for a slot or a refusal. A caller that is cancelled gives up its place. */
    suspend fun acquire(ask: DispatchRequest): DispatchEffect {
        val waiter = Waiter()
        waiting[ask.id] = waiter
        complete(dispatcher.submit(ask, loop.nowMillis()))
        onChange()
        scheduleTick()
        try {
            return waiter.answer.await()
        } catch (e: CancellationException) {
            abandon(ask, waiter)
            throw e
        }
    }

    /** Tells that something came from [server]. */
    fun onSign(server: ServerEntry) =
        dispatcher.onActivity(server.id, server.service, loop.nowMillis())

    /** Tells that the first event of a request came. */
    fun firstEvent(server: ServerEntry, promptTokens: Double) {
        dispatcher.onFirstEvent(server.id, server.service, promptTokens)
        onChange()
    }

    /** Returns a slot. */
    fun release(
        server: ServerEntry,
        outcome: ServerOutcome,
        promptTokens: Double,
        promptPending: Boolean,
    ) {
        val nowMillis = loop.nowMillis()
        complete(dispatcher.onFinished(server, outcome, promptTokens, promptPending, nowMillis))
        onChange()
    }

    /** Replaces the known servers. */
    fun onServers(servers: List<ServerEntry>) =
        complete(dispatcher.onServers(servers, loop.nowMillis()))

    /** Takes over what a peer tells. */
    fun onPeerReport(peer: String, report: LoadReport) =
        complete(dispatcher.onPeerReport(peer, report, loop.nowMillis()))

    /** What to tell the peers. */
    fun report(): LoadReport = dispatcher.report(loop.nowMillis())

    private fun abandon(ask: DispatchRequest, waiter: Waiter) {
        waiting.remove(ask.id)
        dispatcher.cancel(ask.id)
        val effect = waiter.effect
        if (effect is DispatchEffect.Assign) {
            release(
                effect.server,
                ServerOutcome.Inconclusive,
                ask.promptTokens,
                promptPending = true,
            )
        }
    }

    private fun complete(effects: List<DispatchEffect>) =
        effects.forEach { effect ->
            waiting.remove(effect.requestId)?.let {
                it.effect = effect
                it.answer.complete(effect)
            }
        }

    private fun scheduleTick() {
        if (isTickScheduled || !dispatcher.hasWaiting) return
        isTickScheduled = true
        loop.after(TICK_MILLIS) {
            isTickScheduled = false
            complete(dispatcher.serveQueues(loop.nowMillis()))
            scheduleTick()
        }
    }

    private companion object {
        const val TICK_MILLIS = 10L
    }
}
