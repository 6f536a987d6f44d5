package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.RolloutOrder
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.RolloutCodec
import io.lavenderhinge.platform.StoreRevision
import org.slf4j.LoggerFactory

/**
 * Applies the configuration and the rollout orders that the operator writes to the store. Confined
 * to the control thread.
 */
internal class OperatorStateListener(
    private val configuration: ConfigurationHolder,
    private val rollouts: RolloutOrderListener,
) : StoreListener {
    private val orders = HashMap<String, RolloutOrder>()
    private var readRevision = 0L

    override fun onSnapshot(snapshot: Snapshot) {
        // The operator writes again what a restored store has lost.
        if (!StoreRevision.isRestoredBetween(readRevision, snapshot.revision)) {
            val keys = snapshot.values.mapTo(HashSet()) { it.key }
            orders.keys.filter { it !in keys }.forEach(::remove)
        }
        readRevision = snapshot.revision
        snapshot.values.forEach(::accept)
        configuration.confirm()
    }

    override fun onChanges(changes: WatchResult) {
        changes.changes.forEach(::accept)
        changes.removedKeys.forEach(::remove)
        configuration.confirm()
    }

    // Without confirmations the configuration becomes unconfirmed, and requests that it denies are
    // then answered as temporarily unavailable.
    override fun onStoreUnavailable(fault: StoreFault) = Unit

    private fun accept(value: VersionedValue) {
        when {
            value.key == PlatformKeys.CONFIGURATION ->
                configuration.applyIfNewer(value.value, "the store")
            value.key.startsWith(PlatformKeys.ROLLOUT_ORDER_PREFIX) -> acceptOrder(value)
        }
    }

    private fun acceptOrder(value: VersionedValue) {
        RolloutCodec.decodeOrder(value.value, value.version)
            .fold(
                { log.warn("rollout: ignoring invalid order {}: {}", value.key, it) },
                { order -> acceptOrder(value.key, order) },
            )
    }

    private fun acceptOrder(key: String, order: RolloutOrder) {
        val known = orders.put(key, order)
        if (known == order) return
        if (known != null && isRestored(known, order)) {
            log.info("rollout: order of {} goes on in the restored store: {}", key, order)
            rollouts.onOrderRestored(order)
            return
        }
        log.info("rollout: order of {} is in force: {}", key, order)
        rollouts.onOrder(order)
    }

    private fun isRestored(known: RolloutOrder, order: RolloutOrder): Boolean =
        known.hasSameGoal(order) && StoreRevision.isRestoredBetween(known.revision, order.revision)

    private fun remove(key: String) {
        val order = orders.remove(key) ?: return
        log.info("rollout: order of {} was taken back", key)
        rollouts.onOrderRemoved(order.service)
    }

    private companion object {
        val log = LoggerFactory.getLogger(OperatorStateListener::class.java)
    }
}

/** Receives changes of the operator's rollout orders. */
internal interface RolloutOrderListener {
    /** Called when [order] takes effect. */
    fun onOrder(order: RolloutOrder)

    /** Called when a store that came back from a copy lists [order] at another revision. */
    fun onOrderRestored(order: RolloutOrder)

    /** Called when the order for [service] was removed. */
    fun onOrderRemoved(service: String)
}
