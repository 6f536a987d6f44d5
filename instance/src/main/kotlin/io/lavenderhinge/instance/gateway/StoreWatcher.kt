package io.lavenderhinge.instance.gateway

import arrow.core.Either
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.SnapshotStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.WatchResult
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.slf4j.LoggerFactory

/** Receives what a [StoreWatcher] reads. Called on the control thread. */
internal interface StoreListener {
    /** All values under the prefix; what is missing no longer exists. */
    fun onSnapshot(snapshot: Snapshot)

    /** Changes since the last call; may be empty. */
    fun onChanges(changes: WatchResult)

    /** A call failed; what is known may be out of date. */
    fun onStoreUnavailable(fault: StoreFault)
}

/**
 * Follows the keys under [prefix]: reads them once, then watches for changes, and reads them anew
 * whenever history or the connection was lost.
 *
 * A watch waits only [waitMillis], because a connection that has gone silent shows by its timeout
 * alone. [pauseMillis] between watches lets frequent changes arrive together.
 */
internal class StoreWatcher(
    private val store: SnapshotStore,
    private val prefix: String,
    private val listener: StoreListener,
    private val waitMillis: Long,
    private val pauseMillis: Long,
) {
    private var isConnected = true

    /** Follows the keys until it is cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val snapshot = valueOrNull(store.snapshot(prefix))
            if (snapshot == null) {
                delay(RETRY_MILLIS)
                continue
            }
            listener.onSnapshot(snapshot)
            watchChanges(snapshot.revision)
        }
    }

    private suspend fun watchChanges(fromRevision: Long) {
        var revision = fromRevision
        while (true) {
            val changes = valueOrNull(store.watch(prefix, revision, waitMillis)) ?: return
            listener.onChanges(changes)
            revision = changes.revision
            delay(pauseMillis)
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
        const val RETRY_MILLIS = 150L
        val log = LoggerFactory.getLogger(StoreWatcher::class.java)
    }
}
