package io.lavenderhinge.core.scheduling

/**
 * What results say about the backend server itself. After a failed connection only one request at a
 * time is let through as a probe; after [FAILURES_TO_CLOSE] in a row, or a refusal because it
 * drains, the server gets nothing for [CLOSED_MILLIS].
 */
internal class ServerEvidence {
    private var failures = 0
    private var closedUntilMillis = 0L
    private var nextProbeMillis = 0L
    private var isDraining = false

    fun observe(resultClass: ResultClass, nowMillis: Long) {
        when (resultClass) {
            ResultClass.OK -> failures = 0
            ResultClass.CONNECTION_FAILED -> failed(nowMillis)
            ResultClass.DRAINING -> drained(nowMillis)
            ResultClass.SERVER_ERROR,
            ResultClass.TIMEOUT,
            ResultClass.CANCELLED -> Unit
        }
    }

    /** The membership reports a live server: earlier evidence is void. */
    fun clear() {
        isDraining = false
        closedUntilMillis = 0
        failures = 0
    }

    /** Why the server gets no work at [nowMillis], or null. */
    fun refusalAt(nowMillis: Long): RefusalReason? =
        when {
            nowMillis >= closedUntilMillis -> null
            isDraining -> RefusalReason.SERVER_LEAVING
            else -> RefusalReason.SERVER_DOWN
        }

    /** True when a request may be sent now, at most one for each probe interval under suspicion. */
    fun mayGrant(nowMillis: Long): Boolean = failures == 0 || nowMillis >= nextProbeMillis

    fun granted(nowMillis: Long) {
        if (failures > 0) nextProbeMillis = nowMillis + PROBE_MILLIS
    }

    private fun failed(nowMillis: Long) {
        failures++
        isDraining = false
        if (failures >= FAILURES_TO_CLOSE) closedUntilMillis = nowMillis + CLOSED_MILLIS
    }

    private fun drained(nowMillis: Long) {
        isDraining = true
        closedUntilMillis = nowMillis + DRAINING_MILLIS
    }

    private companion object {
        const val FAILURES_TO_CLOSE = 2
        const val CLOSED_MILLIS = 2_000L
        const val DRAINING_MILLIS = 30_000L
        const val PROBE_MILLIS = 500L
    }
}
