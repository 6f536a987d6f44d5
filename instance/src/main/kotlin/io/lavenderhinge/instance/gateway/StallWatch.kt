package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.AttemptProgress
import io.lavenderhinge.core.forwarding.StallRecovery
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

/**
 * Watches the [progress] of one attempt and hands the request over to another server while its own
 * is silent. Confined to the traffic thread.
 */
internal class StallWatch(
    private val progress: AttemptProgress,
    private val replacement: ServerReplacement,
    private val nowMillis: () -> Long,
    /** Called when the response is found to have stalled. */
    private val onStalled: () -> Unit,
) {
    private val recovery = StallRecovery(progress, replacement)
    private var interrupt: () -> Unit = {}

    /** Ends a search or a handover, because the server has sent an event. */
    fun onProgress() = interrupt()

    /** Returns once another server has accepted the request and the attempt is to be ended. */
    suspend fun awaitReplacement() {
        while (true) {
            awaitCheck()
            if (progress.detectStall(nowMillis())) onStalled()
            if (!recovery.beginSearch(nowMillis())) continue
            if (searchWhileSilent() && handOverWhileSilent()) return
            recovery.onSearchFailed(nowMillis())
        }
    }

    private suspend fun awaitCheck() {
        val startMillis = nowMillis()
        val delayMillis = recovery.checkDelayMillis(startMillis)
        delay(delayMillis)
        val endMillis = nowMillis()
        if (endMillis - startMillis > delayMillis + OWN_PAUSE_MILLIS) progress.onOwnPause(endMillis)
    }

    private suspend fun searchWhileSilent(): Boolean = coroutineScope {
        val search = async { replacement.search() }
        interrupt = { search.cancel() }
        try {
            search.await()
        } catch (_: CancellationException) {
            // The search may have found a slot in the meantime.
            replacement.giveBack()
            // Rethrows if the attempt itself has ended.
            ensureActive()
            false
        } finally {
            interrupt = {}
        }
    }

    private suspend fun handOverWhileSilent(): Boolean {
        if (!recovery.beginHandover(nowMillis())) {
            replacement.giveBack()
            return false
        }
        try {
            return replacement.handOver(progress) { interrupt = it::onChange }
        } finally {
            interrupt = {}
        }
    }

    private companion object {
        /** A timer that fires later than this shows that the process did not run. */
        const val OWN_PAUSE_MILLIS = 250L
    }
}
