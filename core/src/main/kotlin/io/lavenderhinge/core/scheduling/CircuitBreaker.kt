package io.lavenderhinge.core.scheduling

/**
 * What results say about the backend server itself. After a failed connection only one request at a
 * time is let through as a probe; after [FAILURES_TO_CLOSE] in a row, or a refusal because it
 * drains, the server gets nothing for [CLOSED_MILLIS].
 */
internal class CircuitBreaker {
    private var consecutiveFailures = 0
    private var openUntilMillis = 0L
    private var nextProbeMillis = 0L
    private var isDraining = false

    fun onResult(resultClass: ResultClass, nowMillis: Long) {
        when (resultClass) {
            ResultClass.OK -> consecutiveFailures = 0
            ResultClass.CONNECTION_FAILED -> onConnectionFailed(nowMillis)
            ResultClass.DRAINING -> onDraining(nowMillis)
            ResultClass.SERVER_ERROR,
            ResultClass.TIMEOUT,
            ResultClass.CANCELLED -> Unit
        }
    }

    /** The membership reports a live server: earlier evidence is void. */
    fun reset() {
        isDraining = false
        openUntilMillis = 0
        consecutiveFailures = 0
    }

    /** Why the server gets no work at [nowMillis], or null. */
    fun refusalAt(nowMillis: Long): RefusalReason? =
        when {
            nowMillis >= openUntilMillis -> null
            isDraining -> RefusalReason.SERVER_LEAVING
            else -> RefusalReason.SERVER_DOWN
        }

    /** True when a request may be sent now, at most one for each probe interval under suspicion. */
    fun allowsGrant(nowMillis: Long): Boolean =
        consecutiveFailures == 0 || nowMillis >= nextProbeMillis

    fun onGranted(nowMillis: Long) {
        if (consecutiveFailures > 0) nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS
    }

    private fun onConnectionFailed(nowMillis: Long) {
        consecutiveFailures++
        isDraining = false
        if (consecutiveFailures >= FAILURE_THRESHOLD) openUntilMillis = nowMillis + OPEN_MILLIS
    }

    private fun onDraining(nowMillis: Long) {
        isDraining = true
        openUntilMillis = nowMillis + DRAINING_MILLIS
    }

    private companion object {
        const val FAILURE_THRESHOLD = 2
        const val OPEN_MILLIS = 2_000L
        const val DRAINING_MILLIS = 30_000L
        const val PROBE_INTERVAL_MILLIS = 500L
    }
}
