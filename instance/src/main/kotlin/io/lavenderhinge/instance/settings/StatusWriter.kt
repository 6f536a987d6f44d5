package io.lavenderhinge.instance.settings

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault

/** Writes the domain's status when it changes, and periodically to show that it is current. */
internal class StatusWriter(private val store: KeyValueStore) {
    private var written: SettingsStatus? = null
    private var version = 0L
    private var nextMillis = 0L

    /** Writes [status] unless the last write was recent or had the same content. */
    suspend fun write(status: SettingsStatus) {
        if (status.atMillis < nextMillis) return
        val last = written
        val same = last?.copy(atMillis = status.atMillis) == status
        if (same && status.atMillis - last.atMillis < REFRESH_MILLIS) return
        nextMillis = status.atMillis + MINIMUM_MILLIS
        val value = Json.render(status).decodeToString()
        store.compareAndSwap(SettingsStatus.PREFIX + status.failureDomain, version, value).fold(
            ::onFault
        ) {
            version = it
            written = status
        }
    }

    // Only the present status matters, so the next write replaces the concurrent one.
    private fun onFault(fault: StoreFault) {
        if (fault is StoreFault.Conflict) {
            version = fault.current?.version ?: 0
            nextMillis = 0
        }
    }

    private companion object {
        // Five domains together write at most one status per second.
        const val MINIMUM_MILLIS = 5_000L
        const val REFRESH_MILLIS = 60_000L
    }
}
