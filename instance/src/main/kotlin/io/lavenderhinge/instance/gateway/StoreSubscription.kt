package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.WatchPacing
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.platform.PlatformKeys
import kotlinx.coroutines.flow.collectLatest

/** The receivers of what the store holds, by kind of key. */
internal class StoreListeners(
    val evacuations: StoreListener,
    val operator: StoreListener,
    val rolloutStatus: StoreListener,
    val servers: ServerRegistry,
    val members: StoreListener,
)

/**
 * Follows the store in the role of this instance: a watcher reads all keys, a follower only those
 * of the operator.
 */
internal class StoreSubscription(
    private val store: SnapshotStore,
    private val pacing: WatchPacing,
    private val role: WatcherRole,
    private val listeners: StoreListeners,
) {
    /** Follows the store until cancelled; a change of the role replaces the watch. */
    suspend fun run(): Unit =
        role.isWatchingAll.collectLatest { watchesAll ->
            val watcher = if (watchesAll) watcherOfAllKeys() else watcherOfOperatorKeys()
            watcher.run()
        }

    private fun watcherOfAllKeys(): StoreWatcher {
        val listener =
            PrefixRoutingListener(
                operatorListeners() +
                    mapOf(
                        PlatformKeys.ROLLOUT_STATUS_PREFIX to listeners.rolloutStatus,
                        PlatformKeys.SERVER_PREFIX to listeners.servers,
                        PlatformKeys.MEMBER_PREFIX to listeners.members,
                    )
            )
        return StoreWatcher(store, PlatformKeys.ALL_PREFIX, listener, pacing)
    }

    private fun watcherOfOperatorKeys(): StoreWatcher {
        val operator = PrefixRoutingListener(operatorListeners())
        val listener = FollowerListener(operator, listeners.servers)
        return StoreWatcher(store, PlatformKeys.OPERATOR_PREFIX, listener, pacing)
    }

    // Evacuations come first: a new configuration may open the instance for requests.
    private fun operatorListeners(): Map<String, StoreListener> =
        mapOf(
            PlatformKeys.EVACUATION_PREFIX to listeners.evacuations,
            PlatformKeys.OPERATOR_PREFIX to listeners.operator,
        )
}
