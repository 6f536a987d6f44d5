package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.AttemptProgress
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.HandoverDecision
import io.lavenderhinge.core.forwarding.RetryAllowance
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

/** The steps of one request's attempts that a replacement of its server needs. */
internal interface ReplacementSteps : RetryAllowance {
    /** True once the client has received a part of the response. */
    val hasBegun: Boolean

    /** Returns the request for a slot at a server other than those tried before. */
    fun dispatchRequest(): DispatchRequest

    /** Sends the request to the server of [slot] and passes the response on when it has [turn]. */
    suspend fun attempt(
        slot: AssignedSlot,
        replacement: ServerReplacement,
        turn: AttemptTurn,
    ): AttemptResult
}

/**
 * Hands one request over to another server while its own is silent. The new attempt runs in
 * [scope], beside the first one, until one of them ends. Confined to the traffic thread.
 *
 * [StallWatch] of the first attempt calls [search] and [handOver], and ends that attempt if
 * [handOver] returns true. [ForwardedRequest] then takes the second attempt with [take] and lets it
 * pass on its response, so that only one attempt ever writes to the client.
 */
internal class ServerReplacement(
    private val scope: CoroutineScope,
    private val allocator: SlotAllocator,
    private val nowMillis: () -> Long,
    private val history: AttemptHistory,
    private val trace: RequestTrace,
    private val steps: ReplacementSteps,
) : RetryAllowance by steps {
    private var slot: AssignedSlot? = null
    private var second: SecondAttempt? = null

    /** The server whose attempt passes on its response. */
    var currentServerId = ""

    /** Returns the attempt that is to go on after the first one has ended, if there is one. */
    fun take(): SecondAttempt? = second?.takeUnless { it.hasEnded }.also { second = null }

    /** True if there is an attempt that can go on after the first one. */
    val isReady: Boolean
        get() = second?.hasEnded == false

    /** Waits for a slot at another server; returns false if none can take the request. */
    suspend fun search(): Boolean {
        val request =
            steps
                .dispatchRequest()
                .copy(
                    excludedServers = history.triedServers.add(currentServerId),
                    hasLostServer = true,
                )
        when (val effect = allocator.acquire(request)) {
            is DispatchEffect.Assign -> slot = AssignedSlot(effect, request)
            is DispatchEffect.Refuse -> {
                trace.replacementRefused(effect)
                // The next search comes after a pause, so full servers may take the stream then.
                if (steps.hasBegun) history.forgetRefusals()
            }
        }
        return slot != null
    }

    /** Gives back the slot that [search] has found. */
    fun giveBack() {
        takeSlot()?.let { allocator.giveBack(it.grant, it.request) }
    }

    /** Ends everything that was begun for a replacement and is not in use. */
    fun close() {
        giveBack()
        take()?.withdraw("the request has ended")
    }

    /**
     * Sends the request to the server that [search] has found. Returns true once that server has
     * accepted it, and false if the attempt of [first] goes on. [onBegun] gets the handover, which
     * has to be told of changes.
     */
    suspend fun handOver(first: AttemptProgress, onBegun: (PendingHandover) -> Unit): Boolean {
        val slot = takeSlot() ?: return false
        val handover = PendingHandover(first, nowMillis)
        val attempt = SecondAttempt(slot, handover, start(slot, handover))
        onBegun(handover)
        // If the first attempt breaks off, this is cancelled before the decision, and the second
        // one can go on.
        second = attempt
        if (handover.awaitDecision() is HandoverDecision.Move) return true
        second = null
        attempt.withdraw("the server before went on")
        return false
    }

    private fun takeSlot(): AssignedSlot? = slot.also { slot = null }

    // The attempt has to start even if the request is cancelled, because it releases the slot.
    private fun start(slot: AssignedSlot, handover: PendingHandover): Deferred<AttemptResult> =
        scope.async(start = CoroutineStart.UNDISPATCHED) {
            steps.attempt(slot, this@ServerReplacement, handover).also { result ->
                if (!handover.isTakenOver) onKept(slot, result, handover)
            }
        }

    private fun onKept(slot: AssignedSlot, result: AttemptResult, handover: PendingHandover) {
        handover.onEnded()
        // Whether the request may be sent again is decided when the first attempt ends.
        history.record(result, slot.serverId, steps.hasBegun)
        trace.replacementEnded(result)
    }

    /** An attempt beside the first one of the request, or after it. */
    inner class SecondAttempt(
        val slot: AssignedSlot,
        private val handover: PendingHandover,
        private val result: Deferred<AttemptResult>,
    ) {
        /** True if the attempt has ended without an answer that could be passed on. */
        val hasEnded: Boolean
            get() = handover.hasEnded

        /** Passes on the response, after the first attempt has ended. */
        suspend fun takeOver(): AttemptResult {
            handover.takeOver()
            return result.await()
        }

        /** Ends the attempt for [reason], unless it has ended by itself. */
        fun withdraw(reason: String) {
            if (hasEnded) return
            result.cancel()
            if (handover.isSent) history.recordWithdrawn(slot.serverId)
            trace.replacementWithdrawn(reason)
        }
    }
}
