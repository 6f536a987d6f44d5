package io.lavenderhinge.core.health

/**
 * Failures of one backend server since its last success.
 *
 * Failures of the connection and failed answers are kept apart: a load report proves that the
 * connection works, but not that requests are answered.
 */
internal class FailureCounter {
    private var connectionFailures = 0
    private var failedRequests = 0

    /** Time of the first failed connection since the last proof that the server is reachable. */
    var firstConnectionFailureMillis: Long? = null
        private set

    fun onFailure(kind: FailureKind, nowMillis: Long) {
        // A hung engine answers probes but no request, so that a timeout counts in both ways.
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

    /** Why the server counts as dead, or null. */
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
        /** A single odd failure is not enough; a probe that fails as well is. */
        const val MIN_CONNECTION_FAILURES = 2

        /** Leaves 500 ms of the 2 s target to tick and to take effect. */
        const val MIN_UNREACHABLE_MILLIS = 1_500L
        const val MAX_CONNECTION_FAILURES = 4
        const val MAX_FAILED_REQUESTS = 5
    }
}
