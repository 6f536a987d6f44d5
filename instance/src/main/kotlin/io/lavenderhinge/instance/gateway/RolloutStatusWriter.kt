package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.RolloutOrder
import io.lavenderhinge.core.forwarding.RolloutVerdict
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.RolloutCodec
import io.lavenderhinge.platform.RolloutStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Publishes the status of rollouts in the store, and restores it from there after a restart.
 *
 * The instance with the lowest id writes a status first. Each following instance writes it after a
 * longer delay, so that no single instance is required. The store's compare-and-swap accepts only
 * one write, and a final status is never replaced. Confined to the control thread.
 */
internal class RolloutStatusWriter(
    private val selfId: String,
    private val store: SnapshotStore,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
    /** Called for an order whose stored status is final. */
    private val onEnded: (RolloutOrder, RolloutVerdict) -> Unit,
) : StoreListener {
    private class StoredStatus(val status: RolloutStatus, val revision: Long)

    private class PendingStatus(
        val order: RolloutOrder,
        val verdict: RolloutVerdict,
        val sinceMillis: Long,
    )

    private val stored = HashMap<String, StoredStatus>()
    private val pending = HashMap<String, PendingStatus>()
    private val servicesBeingWritten = HashSet<String>()

    override fun onSnapshot(snapshot: Snapshot) {
        stored.clear()
        snapshot.values.forEach(::accept)
    }

    override fun onChanges(changes: WatchResult) {
        changes.changes.forEach(::accept)
        changes.removedKeys.forEach { stored.remove(service(it)) }
    }

    // A failed write is retried by a later report.
    override fun onStoreUnavailable(fault: StoreFault) = Unit

    /**
     * Writes the [verdicts] that differ from the stored status, as one of [writers]. Verdicts of
     * [atMillis] that are no longer recent are ignored: after a pause of this process, the rollout
     * may have been withdrawn.
     */
    fun report(verdicts: Map<RolloutOrder, RolloutVerdict>, writers: Set<String>, atMillis: Long) {
        if (nowMillis() - atMillis > MAX_VERDICT_AGE_MILLIS) {
            log.info("rollout: ignoring verdicts that are {} ms old", nowMillis() - atMillis)
            return
        }
        val rank = (writers + selfId).sorted().indexOf(selfId)
        verdicts.forEach { (order, verdict) -> report(order, verdict, rank) }
    }

    private fun report(order: RolloutOrder, verdict: RolloutVerdict, rank: Int) {
        val current = stored[order.service]?.takeIf { it.revision > order.revision }
        if (current?.status?.targetVersion == order.targetVersion) {
            val known = current.status.verdict
            if (known != RolloutVerdict.IN_PROGRESS) return onEnded(order, known)
            if (known == verdict) return
        }
        val waitedMillis = nowMillis() - pendingSince(order, verdict)
        if (waitedMillis < rank * TAKEOVER_DELAY_MILLIS || !servicesBeingWritten.add(order.service))
            return
        scope.launch { write(order, verdict) }
    }

    private fun pendingSince(order: RolloutOrder, verdict: RolloutVerdict): Long {
        val known = pending[order.service]?.takeIf { it.order == order && it.verdict == verdict }
        if (known != null) return known.sinceMillis
        return nowMillis().also { pending[order.service] = PendingStatus(order, verdict, it) }
    }

    private suspend fun write(order: RolloutOrder, verdict: RolloutVerdict) {
        val status = RolloutStatus(order.targetVersion, verdict)
        val expected = stored[order.service]?.revision ?: 0
        val key = PlatformKeys.ROLLOUT_STATUS_PREFIX + order.service
        store
            .compareAndSwap(key, expected, RolloutCodec.encode(status), leaseId = null)
            .fold(
                { fault ->
                    log.warn("rollout: status of {} was not written: {}", key, fault.message)
                    (fault as? StoreFault.Conflict)?.current?.let(::accept)
                },
                { revision ->
                    stored[order.service] = StoredStatus(status, revision)
                    log.info("rollout: {} to {} is {}", order.service, order.targetVersion, verdict)
                },
            )
        servicesBeingWritten.remove(order.service)
    }

    private fun accept(value: VersionedValue) {
        RolloutCodec.decodeStatus(value.value)
            .fold(
                { log.warn("rollout: ignoring invalid status {}: {}", value.key, it) },
                { stored[service(value.key)] = StoredStatus(it, value.version) },
            )
    }

    private fun service(key: String) = key.removePrefix(PlatformKeys.ROLLOUT_STATUS_PREFIX)

    private companion object {
        /** Exceeds the duration of a write; each instance waits this long times its rank. */
        const val TAKEOVER_DELAY_MILLIS = 400L
        /** Verdicts are computed several times a second, so an old one shows that time was lost. */
        const val MAX_VERDICT_AGE_MILLIS = 500L
        val log = LoggerFactory.getLogger(RolloutStatusWriter::class.java)
    }
}
