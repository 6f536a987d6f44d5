package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.membership.RendezvousHash
import kotlinx.collections.immutable.toImmutableList

/**
 * Decides which instances watch the list of backend servers in the store. The others get it from
 * one of them, so that the calls to the store do not grow with the fleet.
 *
 * The selection needs no agreement: each instance ranks the same ids by the same hash. An instance
 * that hears from no watcher, for example in a failure domain that is cut off, watches by itself.
 * Not thread-safe: all calls must come from one thread.
 */
class WatcherSelection(private val selfId: String) {
    private val watchingMillis = HashMap<String, Long>()

    /** Records whether [peer] reported that it watches the list and the store answers it. */
    fun onReport(peer: String, isWatching: Boolean, nowMillis: Long) {
        if (isWatching) watchingMillis[peer] = nowMillis else watchingMillis.remove(peer)
    }

    /** Returns true if this instance has to watch the list, as one of a fleet with [peerIds]. */
    fun mustWatch(peerIds: Set<String>, nowMillis: Long): Boolean {
        watchingMillis.keys.retainAll(peerIds)
        return selfId in selected(peerIds) || recentWatchers(nowMillis).isEmpty()
    }

    /** Returns the ids that are selected to watch, of the fleet of this instance and [peerIds]. */
    fun selected(peerIds: Set<String>): Set<String> =
        RendezvousHash.highest(WATCHED_LIST, peerIds + selfId, WATCHERS).toSet()

    /** Returns the watchers from which this instance may copy the list. */
    fun sources(nowMillis: Long): ListSources {
        val watchers = recentWatchers(nowMillis)
        return ListSources(
            RendezvousHash.highest(selfId, watchers, watchers.size).toImmutableList()
        )
    }

    private fun recentWatchers(nowMillis: Long): Set<String> =
        watchingMillis.filterValues { nowMillis - it < MAX_REPORT_AGE_MILLIS }.keys

    private companion object {
        /** Several in each failure domain of a deployment with a few of them. */
        const val WATCHERS = 10
        /** Spans two reports of a large fleet. */
        const val MAX_REPORT_AGE_MILLIS = 1_200L
        /** The item for which the ids are ranked. */
        const val WATCHED_LIST = "server-list"
    }
}
