package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult
import kotlinx.collections.immutable.toImmutableList

/**
 * Passes the results of one watch to the listener for each key prefix, so that a single long-poll
 * call covers configuration, rollouts, backend servers and instances. Keys under other prefixes are
 * ignored.
 */
internal class PrefixRoutingListener(private val listeners: Map<String, StoreListener>) :
    StoreListener {
    override fun onSnapshot(snapshot: Snapshot) =
        listeners.forEach { (prefix, listener) ->
            val values = snapshot.values.filter { it.key.startsWith(prefix) }
            listener.onSnapshot(snapshot.copy(values = values.toImmutableList()))
        }

    override fun onChanges(changes: WatchResult) =
        listeners.forEach { (prefix, listener) ->
            val written = changes.changes.filter { it.key.startsWith(prefix) }
            val removed = changes.removedKeys.filter { it.startsWith(prefix) }
            listener.onChanges(
                WatchResult(written.toImmutableList(), changes.revision, removed.toImmutableList())
            )
        }

    override fun onStoreUnavailable(fault: StoreFault) =
        listeners.values.forEach { it.onStoreUnavailable(fault) }
}
