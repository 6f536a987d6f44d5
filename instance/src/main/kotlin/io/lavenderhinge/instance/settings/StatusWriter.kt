package io.lavenderhinge.instance.settings

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault

/** Writes the domain's status when it changed, and now and then to show that it is current. */
internal class StatusWriter(private val store: KeyValueStore) {
    private var written: SettingsStatus? = null
    private var version = 0L
    private var nextMillis = 0L

    /** Writes [status] unless the last write was recent or said the same. */
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

    // The status is a statement of the present, so the next write simply replaces the other one.
    private fun onFault(fault: StoreFault) {
        if (fault is StoreFault.Conflict) {
            version = fault.current?.version ?: 0
            nextMillis = 0
        }
    }

    private companion object {
        // Five domains write at most one status a second in all.
        const val MINIMUM_MILLIS = 5_000L
        const val REFRESH_MILLIS = 60_000L
    }
}
