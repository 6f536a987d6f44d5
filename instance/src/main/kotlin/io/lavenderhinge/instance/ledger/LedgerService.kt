package io.lavenderhinge.instance.ledger

import arrow.core.left
import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.LedgerEffect
import io.lavenderhinge.core.ledger.LedgerEvent
import io.lavenderhinge.core.ledger.LedgerLimits
import io.lavenderhinge.core.ledger.LedgerNode
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.StoreCall
import io.lavenderhinge.core.ledger.StoreResult
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.cancellation.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * The ledger of this instance: executes the effects of [LedgerNode] on the control thread.
 *
 * [liveInstanceIds] is called on the control thread. It must return the same list object while
 * membership is unchanged, and the list must contain this instance.
 */
class LedgerService(
    private val control: ControlThread,
    private val links: PeerLinks,
    private val store: KeyValueStore,
    limits: LedgerLimits = LedgerLimits(),
    liveInstanceIds: () -> List<String>,
) : Ledger {
    private class PendingRequest {
        /**
         * Completes with true to start the dispatch, or with false if [result] is set without one.
         */
        val mayDispatch = CompletableDeferred<Boolean>()
        val result = CompletableDeferred<LedgerResult>()
    }

    private val lastTicket = AtomicLong()

    // Confined to the control thread.
    private val node = LedgerNode(links.selfId, limits, control.random, liveInstanceIds)
    private val pendingRequests = HashMap<Long, PendingRequest>()
    private val events = ArrayDeque<LedgerEvent>()
    private var isHandling = false
    private var wakeAtMillis = Long.MAX_VALUE

    /**
     * Number of attempts whose outcome is not confirmed to be in the store. Control thread only.
     */
    val openAttemptCount: Int
        get() = node.openAttemptCount

    init {
        control.execute {
            links.onFrame(::onFrameReceived)
            links.onLinkLost { handle(LedgerEvent.LinkLost(it)) }
        }
        control.every(IDLE_WAKE_MILLIS) { handle(LedgerEvent.Wake) }
    }

    override suspend fun execute(
        request: LedgerRequest,
        dispatch: suspend () -> DispatchOutcome,
    ): LedgerResult {
        val ticket = lastTicket.incrementAndGet()
        val pendingRequest = PendingRequest()
        control.execute {
            pendingRequests[ticket] = pendingRequest
            handle(LedgerEvent.Begin(ticket, request))
        }
        if (awaitDispatchPermission(ticket, pendingRequest)) runDispatch(ticket, dispatch)
        return pendingRequest.result.await()
    }

    private suspend fun awaitDispatchPermission(
        ticket: Long,
        pendingRequest: PendingRequest,
    ): Boolean =
        try {
            pendingRequest.mayDispatch.await()
        } catch (e: CancellationException) {
            control.execute { onCancelled(ticket, pendingRequest) }
            throw e
        }

    /**
     * Handles a call that was cancelled before its dispatch started, even if the dispatch was
     * already permitted.
     */
    private fun onCancelled(ticket: Long, pendingRequest: PendingRequest) {
        if (!pendingRequest.mayDispatch.isCompleted) {
            handle(LedgerEvent.Cancel(ticket))
        } else if (ticket in pendingRequests) {
            val outcome = DispatchOutcome.NeverSent("the caller disconnected before the dispatch")
            handle(LedgerEvent.DispatchEnded(ticket, outcome))
        }
        pendingRequests.remove(ticket)
    }

    private suspend fun runDispatch(ticket: Long, dispatch: suspend () -> DispatchOutcome) {
        var outcome: DispatchOutcome = DispatchOutcome.Lost("the dispatch was cancelled")
        try {
            outcome = dispatch()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error(
                "ledger: dispatch threw an exception; the outcome of the request is unknown",
                e,
            )
            outcome = DispatchOutcome.Lost("the dispatch failed: ${e.message}")
        } finally {
            val ended = LedgerEvent.DispatchEnded(ticket, outcome)
            control.execute { handle(ended) }
        }
    }

    private fun onFrameReceived(fromInstanceId: String, frame: Frame) {
        val message =
            try {
                LedgerFrameCodec.decode(frame)
            } catch (e: IllegalArgumentException) {
                log.warn("ledger: malformed message from {}: {}", fromInstanceId, e.message)
                null
            }
        if (message != null) handle(LedgerEvent.Received(fromInstanceId, message))
    }

    /**
     * Passes [event] to the state machine. Executing an effect may deliver a frame to this
     * instance, so events that arrive meanwhile are queued.
     */
    private fun handle(event: LedgerEvent) {
        events += event
        if (isHandling) return
        isHandling = true
        try {
            while (events.isNotEmpty()) {
                node
                    .handle(events.removeFirst(), control.nowMillis())
                    .forEach(::executeLoggingFailure)
            }
        } finally {
            isHandling = false
        }
        scheduleWake()
    }

    /** A failing effect must not prevent the execution of the following effects. */
    private fun executeLoggingFailure(effect: LedgerEffect) =
        try {
            execute(effect)
        } catch (e: Exception) {
            log.error("ledger: failed to execute an effect", e)
        }

    private fun execute(effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send ->
                links.send(effect.toInstanceId, LedgerFrameCodec.encode(effect.message))
            is LedgerEffect.CallStore ->
                control.scope.launch { handle(LedgerEvent.StoreReplied(callStore(effect.call))) }
            is LedgerEffect.Dispatch -> pendingRequests[effect.ticket]?.mayDispatch?.complete(true)
            is LedgerEffect.Finish -> {
                val pendingRequest = pendingRequests.remove(effect.ticket) ?: return
                pendingRequest.result.complete(effect.result)
                pendingRequest.mayDispatch.complete(false)
            }
            is LedgerEffect.Log ->
                if (effect.isError) log.error("ledger: {}", effect.message)
                else log.warn("ledger: {}", effect.message)
        }
    }

    private suspend fun callStore(call: StoreCall): StoreResult =
        when (call) {
            is StoreCall.Read -> StoreResult.ReadDone(call.callId, call.shard, read(call))
            is StoreCall.Write -> StoreResult.WriteDone(call.callId, call.shard, write(call))
        }

    private suspend fun read(call: StoreCall.Read) =
        try {
            store.get(call.key)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            StoreFault.Unavailable("the key-value adapter failed: ${e.message}").left()
        }

    private suspend fun write(call: StoreCall.Write) =
        try {
            store.compareAndSwap(call.key, call.expectedVersion, call.value)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            StoreFault.OutcomeUnknown("the key-value adapter failed: ${e.message}").left()
        }

    private fun scheduleWake() {
        val next = node.nextWakeMillis
        if (next >= wakeAtMillis) return
        wakeAtMillis = next
        control.after(maxOf(0, next - control.nowMillis())) {
            if (wakeAtMillis == next) {
                wakeAtMillis = Long.MAX_VALUE
                handle(LedgerEvent.Wake)
            }
        }
    }

    private companion object {
        /** Interval at which shards taken over by another instance are unloaded. */
        const val IDLE_WAKE_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(LedgerService::class.java)
    }
}
