package io.lavenderhinge.instance.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Opens once a configuration, the list of backend servers and the evacuations are known. */
internal class ReadinessGate {
    private val configuration = CompletableDeferred<Unit>()
    private val servers = CompletableDeferred<Unit>()
    private val evacuations = CompletableDeferred<Unit>()

    /** True when all are available. */
    val isOpen: Boolean
        get() = configuration.isCompleted && servers.isCompleted && evacuations.isCompleted

    /** Called when a configuration is active. */
    fun onConfigurationAvailable() {
        configuration.complete(Unit)
    }

    /** Called when the list of backend servers has been read. */
    fun onServersAvailable() {
        servers.complete(Unit)
    }

    /** Called when the evacuated failure domains have been read. */
    fun onEvacuationsKnown() {
        evacuations.complete(Unit)
    }

    /** Returns how long a request that has [remainingMillis] left may wait during startup. */
    fun waitMillis(remainingMillis: Long): Long =
        (remainingMillis / WAIT_DIVISOR).coerceIn(1, MAX_WAIT_MILLIS)

    /**
     * Waits until all are available, but only for a fraction of [remainingMillis]. This delays
     * requests that arrive during startup instead of rejecting them.
     */
    suspend fun await(remainingMillis: Long) {
        if (isOpen) return
        withTimeoutOrNull(waitMillis(remainingMillis)) {
            configuration.await()
            servers.await()
            evacuations.await()
        }
    }

    private companion object {
        const val MAX_WAIT_MILLIS = 1_500L
        const val WAIT_DIVISOR = 3
    }
}
