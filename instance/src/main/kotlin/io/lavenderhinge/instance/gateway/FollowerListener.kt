package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult

/**
 * Receives the operator's keys on an instance that gets the server list from a peer. The registry
 * of servers still needs to know whether the store is available: after an outage, entries of live
 * servers may be missing for a moment.
 */
internal class FollowerListener(
    private val operator: StoreListener,
    private val servers: ServerRegistry,
) : StoreListener {
    override fun onSnapshot(snapshot: Snapshot) {
        servers.onStoreReachable()
        operator.onSnapshot(snapshot)
    }

    override fun onChanges(changes: WatchResult) {
        servers.onStoreReachable()
        operator.onChanges(changes)
    }

    override fun onStoreUnavailable(fault: StoreFault) {
        servers.onStoreUnavailable(fault)
        operator.onStoreUnavailable(fault)
    }
}
