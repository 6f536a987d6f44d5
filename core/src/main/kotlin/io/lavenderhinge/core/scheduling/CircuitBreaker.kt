package io.lavenderhinge.core.scheduling

/**
 * Circuit breaker of a backend server, driven by request results.
 *
 * After a failed connection, at most one request per [PROBE_INTERVAL_MILLIS] is let through as a
 * probe. After [FAILURE_THRESHOLD] consecutive failed connections the server gets no requests for
 * [OPEN_MILLIS]. After it refused a request because it is draining, it gets none for
 * [DRAINING_MILLIS].
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

    /** Resets the breaker when the membership reports the server as live again. */
    fun reset() {
        isDraining = false
        openUntilMillis = 0
        consecutiveFailures = 0
    }

    /** Returns why the server gets no work at [nowMillis], or null. */
    fun refusalAt(nowMillis: Long): RefusalReason? =
        when {
            nowMillis >= openUntilMillis -> null
            isDraining -> RefusalReason.SERVER_LEAVING
            else -> RefusalReason.SERVER_DOWN
        }

    /** Returns true if a grant is allowed now. After a failure, one per probe interval is. */
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
