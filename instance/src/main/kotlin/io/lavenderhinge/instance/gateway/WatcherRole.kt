package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ListSources
import io.lavenderhinge.core.forwarding.WatcherSelection
import io.lavenderhinge.protocol.v1.LoadReport
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.slf4j.LoggerFactory

/**
 * Whether this instance watches all keys of the store, or only those of the operator and takes the
 * server list from peers. Confined to the traffic thread, except for reading the state.
 */
internal class WatcherRole(selfId: String) {
    private val selection = WatcherSelection(selfId)
    private val state = MutableStateFlow(true)

    /** True if this instance watches all keys. */
    val isWatchingAll: StateFlow<Boolean>
        get() = state

    /** The peers from which a follower takes the server list. */
    @Volatile
    var sources = ListSources()
        private set

    /** Records the role that the sender of [report] has. */
    fun onReport(report: LoadReport, nowMillis: Long) =
        selection.onReport(report.instanceId, report.watchesServers, nowMillis)

    /** Returns the ids that are selected to watch, of the fleet of this instance and [peerIds]. */
    fun selected(peerIds: Set<String>): Set<String> = selection.selected(peerIds)

    /**
     * Updates the sources and returns the role that is due. An instance that is not ready watches,
     * because it has not read the state that a watcher's changes refer to.
     */
    fun due(isReady: Boolean, peerIds: Set<String>, nowMillis: Long): Boolean {
        sources = selection.sources(nowMillis)
        return !isReady || selection.mustWatch(peerIds, nowMillis)
    }

    /** Enters the role; can be called from any thread. */
    fun enter(watchesAll: Boolean) {
        val source = sources.ranked.firstOrNull()
        log.info("gateway: watching the server list is {}, its source is {}", watchesAll, source)
        state.value = watchesAll
    }

    private companion object {
        val log = LoggerFactory.getLogger(WatcherRole::class.java)
    }
}
