package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.platform.PlatformKeys

/** Puts what the operator writes in force. */
internal class OperatorWatch(private val configuration: ConfigurationHolder) : StoreListener {
    override fun onSnapshot(snapshot: Snapshot) {
        snapshot.values.forEach(::accept)
        configuration.confirm()
    }

    override fun onChanges(changes: WatchResult) {
        changes.changes.forEach(::accept)
        configuration.confirm()
    }

    // Requests that the configuration denies are no longer denied for certain after a while.
    override fun onLost(fault: StoreFault) = Unit

    private fun accept(value: VersionedValue) {
        if (value.key == PlatformKeys.CONFIGURATION) configuration.offer(value.value, "the store")
    }
}
