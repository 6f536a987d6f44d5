package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.RolloutOrder
import io.lavenderhinge.core.forwarding.RolloutTracker
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.instance.control.ControlThread
import org.slf4j.LoggerFactory

/**
 * Carries out the operator's rollout orders: passes them to [tracker], advances it and publishes
 * its verdicts. Orders and stored statuses arrive on the control thread; [tracker] belongs to the
 * traffic thread.
 */
internal class RolloutRunner(
    selfId: String,
    store: SnapshotStore,
    private val control: ControlThread,
    private val loop: TrafficLoop,
    private val tracker: RolloutTracker,
    private val watcherRole: WatcherRole,
    private val peerIds: () -> Collection<String>,
) : RolloutOrderListener {
    private val statusWriter =
        RolloutStatusWriter(selfId, store, control.scope, loop::nowMillis) { order, verdict ->
            loop.execute { tracker.onOrderEnded(order, verdict) }
        }

    /** Receives the stored statuses. */
    val statusListener: StoreListener = statusWriter

    /** Starts advancing the rollouts periodically. */
    fun start() = loop.every(INTERVAL_MILLIS, ::advance)

    override fun onOrder(order: RolloutOrder) =
        loop.execute { tracker.onOrder(order, loop.nowMillis()) }

    override fun onOrderRestored(order: RolloutOrder) =
        loop.execute { tracker.onOrderRestored(order, loop.nowMillis()) }

    override fun onOrderRemoved(service: String) = loop.execute { tracker.onOrderRemoved(service) }

    /** Advances the rollouts and publishes their verdicts; call it on the traffic thread. */
    fun advance() {
        val nowMillis = loop.nowMillis()
        tracker.advance(nowMillis).forEach { change ->
            log.info(
                "rollout: {} to {} enters {}, evidence {}, {} of {} requests were sent to it",
                change.order.service,
                change.order.targetVersion,
                change.stage,
                change.evidence,
                change.sent.onTarget,
                change.sent.total,
            )
        }
        val peerIds = peerIds().toSet()
        val verdicts = tracker.verdicts(peerIds, nowMillis)
        // Followers do not read the stored status, so they leave it to the watchers.
        if (verdicts.isEmpty() || !watcherRole.isWatchingAll.value) return
        val writers = watcherRole.selected(peerIds)
        control.execute { statusWriter.report(verdicts, writers, nowMillis) }
    }

    private companion object {
        const val INTERVAL_MILLIS = 100L
        val log = LoggerFactory.getLogger(RolloutRunner::class.java)
    }
}
