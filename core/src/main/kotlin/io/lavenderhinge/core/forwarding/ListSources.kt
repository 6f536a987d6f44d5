package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * The watchers from which a follower may copy the server list, in the order of its preference.
 *
 * The preferred watcher differs between followers, which spreads the copies over the watchers. It
 * may have lost the store without knowing it yet, so the next ones replace it one after another.
 */
data class ListSources(val ranked: ImmutableList<String> = persistentListOf()) {
    /** Returns true if a follower whose list is [behindMillis] old may copy it from [watcher]. */
    fun allowsCopyFrom(watcher: String, behindMillis: Long): Boolean {
        val rank = ranked.indexOf(watcher)
        return rank >= 0 && behindMillis >= rank * NEXT_SOURCE_MILLIS
    }

    private companion object {
        /** The preferred watcher normally sees a change and reports it within this time. */
        const val NEXT_SOURCE_MILLIS = 400L
    }
}
