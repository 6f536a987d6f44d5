package io.lavenderhinge.ctl

import arrow.core.getOrElse
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.settings.StoredSettings

/** Stores the applied revisions of each team, newest first. */
class RevisionHistory(private val store: KeyValueStore) {
    /**
     * Adds [applied], and also [previous] if an earlier run failed to add it. Returns false if the
     * history could not be written; the applied settings stay stored.
     */
    suspend fun add(team: String, applied: StoredSettings, previous: StoredSettings?): Boolean {
        repeat(MAX_ATTEMPTS) {
            val current =
                store.get(PREFIX + team).getOrElse {
                    return false
                }
            val entries = StoredSettingsCodec.decodeHistory(current?.value ?: "[]")
            val merged =
                (listOfNotNull(applied, previous) + entries)
                    .distinctBy { it.revision }
                    .sortedByDescending { it.revision }
            if (merged == entries) return true
            val value = StoredSettingsCodec.encodeHistory(merged)
            val written = store.compareAndSwap(PREFIX + team, current?.version ?: 0, value)
            if (written.isRight()) return true
        }
        return false
    }

    companion object {
        const val PREFIX = "history/"

        // Each attempt reads the history again after a conflict or lost response, so a few suffice.
        private const val MAX_ATTEMPTS = 5
    }
}
