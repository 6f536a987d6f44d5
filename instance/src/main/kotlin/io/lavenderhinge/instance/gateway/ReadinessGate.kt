package io.lavenderhinge.instance.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Opens once a configuration and the list of backend servers are known. */
internal class ReadinessGate {
    private val configuration = CompletableDeferred<Unit>()
    private val servers = CompletableDeferred<Unit>()

    /** True when both are known. */
    val isOpen: Boolean
        get() = configuration.isCompleted && servers.isCompleted

    /** A configuration is in force. */
    fun onConfigurationAvailable() {
        configuration.complete(Unit)
    }

    /** The list of backend servers was read. */
    fun onServersAvailable() {
        servers.complete(Unit)
    }

    /**
     * Waits until both are known, at most for a part of [remainingMillis]. What clients send to a
     * process that has just started is served a little later rather than refused.
     */
    suspend fun await(remainingMillis: Long) {
        if (isOpen) return
        val waitMillis = (remainingMillis / WAIT_DIVISOR).coerceIn(1, MAX_WAIT_MILLIS)
        withTimeoutOrNull(waitMillis) {
            configuration.await()
            servers.await()
        }
    }

    private companion object {
        const val MAX_WAIT_MILLIS = 1_500L
        const val WAIT_DIVISOR = 3
    }
}
