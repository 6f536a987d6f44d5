package io.lavenderhinge.core.health

/**
 * Counts failures of one backend server since its last success.
 *
 * Connection failures and failed requests are counted separately: a load report proves that the
 * connection works, but not that requests are answered.
 */
internal class FailureCounter {
    private var connectionFailures = 0
    private var failedRequests = 0

    /** Time of the first connection failure since the server was last reachable. */
    var firstConnectionFailureMillis: Long? = null
        private set

    fun onFailure(kind: FailureKind, nowMillis: Long) {
        // A hung engine answers probes but not requests, so a timeout counts as both kinds.
        if (kind == FailureKind.SERVER_ERROR || kind == FailureKind.TIMEOUT) failedRequests++
        if (kind == FailureKind.SERVER_ERROR) return
        connectionFailures++
        if (firstConnectionFailureMillis == null) firstConnectionFailureMillis = nowMillis
    }

    fun onReachable() {
        connectionFailures = 0
        firstConnectionFailureMillis = null
    }

    fun onAnswered() {
        onReachable()
        failedRequests = 0
    }

    /** Returns why the server is considered dead, or null if it is not. */
    fun deadReason(nowMillis: Long): String? {
        if (failedRequests >= MAX_FAILED_REQUESTS) return "$failedRequests failed requests in a row"
        val firstFailureMillis = firstConnectionFailureMillis ?: return null
        val unreachableMillis = nowMillis - firstFailureMillis
        val repeated =
            connectionFailures >= MIN_CONNECTION_FAILURES &&
                unreachableMillis >= MIN_UNREACHABLE_MILLIS
        if (repeated || connectionFailures >= MAX_CONNECTION_FAILURES) {
            return "$connectionFailures failures and no answer for $unreachableMillis ms"
        }
        return null
    }

    private companion object {
        /** One failure may be transient; a failed probe in addition confirms it. */
        const val MIN_CONNECTION_FAILURES = 2

        /** Leaves 500 ms of the 2 s detection target for the tick and for routing to react. */
        const val MIN_UNREACHABLE_MILLIS = 1_500L
        const val MAX_CONNECTION_FAILURES = 4
        const val MAX_FAILED_REQUESTS = 5
    }
}
