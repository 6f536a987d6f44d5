package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.AttemptProgress
import io.lavenderhinge.core.forwarding.Handover
import io.lavenderhinge.core.forwarding.HandoverDecision
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A request that was sent to a second server while the response of the [first] one has stalled. As
 * a turn, it is that of the second attempt. Confined to the traffic thread.
 */
internal class PendingHandover(first: AttemptProgress, private val nowMillis: () -> Long) :
    AttemptTurn {
    private val handover = Handover(first)
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private val turn = CompletableDeferred<Unit>()

    /** True once the second server may have executed the request. */
    val isSent: Boolean
        get() = handover.isSent

    /** True once the second attempt has ended before the request was handed over to it. */
    var hasEnded = false
        private set

    /** True once the second attempt may pass on its response. */
    val isTakenOver: Boolean
        get() = turn.isCompleted

    override fun onSent() {
        handover.onSent(nowMillis())
        onChange()
    }

    override fun onAccepted() {
        handover.onAccepted()
        onChange()
    }

    override suspend fun await() = turn.await()

    /** Records that the second attempt has ended without an answer that could be passed on. */
    fun onEnded() {
        hasEnded = true
        handover.onEnded()
        onChange()
    }

    /** Called when the first server has sent an event, or something else has changed. */
    fun onChange() {
        changes.trySend(Unit)
    }

    /** Waits until it is decided which attempt goes on. */
    suspend fun awaitDecision(): HandoverDecision {
        while (true) {
            val decision = handover.decide(nowMillis())
            if (decision !is HandoverDecision.Wait) return decision
            withTimeoutOrNull(decision.millis) { changes.receive() }
        }
    }

    /** Lets the second attempt pass on its response, because the first one has ended. */
    fun takeOver() {
        turn.complete(Unit)
    }
}
