package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult
import kotlinx.collections.immutable.toImmutableList

/**
 * Passes what one watch reads to the listener of each prefix, so that a single call waits for
 * configuration, backend servers and instances. Keys under no prefix are left out.
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
