package io.lavenderhinge.core.health

/**
 * Failures of one backend server since its last success.
 *
 * Failures of the connection and failed answers are kept apart: a load report proves that the
 * connection works, but not that requests are answered.
 */
internal class FailureEvidence {
    private var connectionFailures = 0
    private var unanswered = 0

    /** Time of the first failed connection since the last proof that the server is reachable. */
    var firstConnectionFailureMillis: Long? = null
        private set

    fun failed(kind: FailureKind, nowMillis: Long) {
        // A hung engine answers probes but no request, so that a timeout counts in both ways.
        if (kind == FailureKind.SERVER_ERROR || kind == FailureKind.TIMEOUT) unanswered++
        if (kind == FailureKind.SERVER_ERROR) return
        connectionFailures++
        if (firstConnectionFailureMillis == null) firstConnectionFailureMillis = nowMillis
    }

    fun reachable() {
        connectionFailures = 0
        firstConnectionFailureMillis = null
    }

    fun answered() {
        reachable()
        unanswered = 0
    }

    /** Why the server counts as dead, or null. */
    fun verdict(nowMillis: Long): String? {
        if (unanswered >= FAILED_REQUESTS) return "$unanswered failed requests in a row"
        val since = firstConnectionFailureMillis ?: return null
        val waited = nowMillis - since
        val repeated = connectionFailures >= FEWEST_FAILURES && waited >= CONFIRM_MILLIS
        if (repeated || connectionFailures >= CERTAIN_FAILURES) {
            return "$connectionFailures failures and no answer for $waited ms"
        }
        return null
    }

    private companion object {
        /** A single odd failure is not enough; a probe that fails as well is. */
        const val FEWEST_FAILURES = 2

        /** Leaves 500 ms of the 2 s target to tick and to take effect. */
        const val CONFIRM_MILLIS = 1_500L
        const val CERTAIN_FAILURES = 4
        const val FAILED_REQUESTS = 5
    }
}
