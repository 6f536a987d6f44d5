package io.lavenderhinge.instance.gateway

import arrow.core.Either
import io.lavenderhinge.core.forwarding.WatchPacing
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.slf4j.LoggerFactory

/** Receives the results of a [StoreWatcher]. Called on the control thread. */
internal interface StoreListener {
    /** Called with all values under the prefix; other keys no longer exist. */
    fun onSnapshot(snapshot: Snapshot)

    /** Called with the changes since the last call; they may be empty. */
    fun onChanges(changes: WatchResult)

    /** Called when a call failed; the known state may be out of date. */
    fun onStoreUnavailable(fault: StoreFault)
}

/**
 * Watches the keys under [prefix]: reads a snapshot, then watches for changes, and reads a new
 * snapshot whenever the history or the connection was lost.
 *
 * An unresponsive connection is detected only by the timeout of a call, which limits how long a
 * watch waits. The pause between two calls batches frequent changes.
 */
internal class StoreWatcher(
    private val store: SnapshotStore,
    private val prefix: String,
    private val listener: StoreListener,
    private val pacing: WatchPacing,
) {
    private var isConnected = true

    /** Watches the keys until cancelled. */
    suspend fun run() {
        var retryMillis = MIN_RETRY_MILLIS
        while (currentCoroutineContext().isActive) {
            val snapshot = valueOrNull(store.snapshot(prefix))
            if (snapshot == null) {
                delay(retryMillis)
                retryMillis = (retryMillis * 2).coerceAtMost(MAX_RETRY_MILLIS)
                continue
            }
            retryMillis = MIN_RETRY_MILLIS
            listener.onSnapshot(snapshot)
            watchChanges(snapshot.revision)
        }
    }

    private suspend fun watchChanges(fromRevision: Long) {
        var revision = fromRevision
        while (true) {
            val changes = valueOrNull(store.watch(prefix, revision, pacing.waitMillis)) ?: return
            listener.onChanges(changes)
            revision = changes.revision
            delay(pacing.pauseMillis)
        }
    }

    private fun <T> valueOrNull(result: Either<StoreFault, T>): T? =
        result.fold(
            { fault ->
                if (fault != StoreFault.HistoryLost) onUnavailable(fault)
                null
            },
            { value ->
                if (!isConnected) log.info("store: followed again")
                isConnected = true
                value
            },
        )

    private fun onUnavailable(fault: StoreFault) {
        if (isConnected) log.warn("store: cannot be followed: {}", fault.message)
        isConnected = false
        listener.onStoreUnavailable(fault)
    }

    private companion object {
        const val MIN_RETRY_MILLIS = 150L
        /** The store charges each call, also one that it refuses. */
        const val MAX_RETRY_MILLIS = 600L
        val log = LoggerFactory.getLogger(StoreWatcher::class.java)
    }
}
