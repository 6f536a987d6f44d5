package io.lavenderhinge.core.forwarding

/** What is to be done about a request that was sent to a second server. */
sealed interface HandoverDecision {
    /** Nothing is decided yet. Decide again after [millis], or as soon as something changes. */
    data class Wait(val millis: Long) : HandoverDecision

    /** The first attempt ends, and the second server goes on. */
    data object Move : HandoverDecision

    /** The second attempt ends, because the first server has sent an event. */
    data object Withdraw : HandoverDecision

    /** The second attempt has ended without an answer that could be passed on. */
    data object Keep : HandoverDecision
}

/**
 * Decides which attempt goes on after a request whose server is silent was sent to a second server.
 *
 * The second server may turn the request away, and the first one may go on. The first attempt,
 * whose state is [first], therefore ends only once the second server has accepted the request.
 * Servers turn requests away at once, so one that has not done so soon counts as having accepted:
 * two servers must not work on one request for long.
 *
 * Times are milliseconds on the monotonic clock. Not thread-safe: all calls must come from one
 * thread.
 */
class Handover(private val first: AttemptProgress) {
    private var acceptedByMillis = Long.MAX_VALUE
    private var isAccepted = false
    private var hasEnded = false

    /** True once the second server has received the request, which it may have executed then. */
    val isSent: Boolean
        get() = acceptedByMillis != Long.MAX_VALUE

    /** Records that the request was sent to the second server. */
    fun onSent(nowMillis: Long) {
        acceptedByMillis = nowMillis + REFUSAL_MILLIS
    }

    /** Records that the second server has begun to answer. */
    fun onAccepted() {
        isAccepted = true
    }

    /** Records that the second server has not accepted the request, or failed. */
    fun onEnded() {
        hasEnded = true
    }

    /** Decides what is to be done now. */
    fun decide(nowMillis: Long): HandoverDecision =
        when {
            hasEnded -> HandoverDecision.Keep
            !first.isSearchDue(nowMillis) -> HandoverDecision.Withdraw
            isAccepted || nowMillis >= acceptedByMillis -> HandoverDecision.Move
            else -> HandoverDecision.Wait(minOf(acceptedByMillis - nowMillis, REFUSAL_MILLIS))
        }

    private companion object {
        /** Time within which a server turns a request away. */
        const val REFUSAL_MILLIS = 250L
    }
}
