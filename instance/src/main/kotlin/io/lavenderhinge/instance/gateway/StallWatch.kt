package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.AttemptProgress
import io.lavenderhinge.core.forwarding.RetryAllowance
import io.lavenderhinge.core.forwarding.StallRecovery
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

/** Finds another server for a request whose server is silent. */
internal interface ReplacementSearch : RetryAllowance {
    /** Waits for a slot at another server; returns false if none can take the request. */
    suspend fun search(): Boolean

    /** Gives back the slot that [search] has found. */
    fun giveBack()
}

/**
 * Watches the [progress] of one attempt and seeks another server while its own is silent. Confined
 * to the traffic thread.
 */
internal class StallWatch(
    private val progress: AttemptProgress,
    private val replacement: ReplacementSearch,
    private val nowMillis: () -> Long,
    /** Called when the response is found to have stalled. */
    private val onStalled: () -> Unit,
) {
    private val recovery = StallRecovery(progress, replacement)
    private var cancelSearch: () -> Unit = {}

    /** Ends a search, because the server has sent an event. */
    fun onProgress() = cancelSearch()

    /** Returns once another server has a slot for the request and the attempt is to be ended. */
    suspend fun awaitReplacement() {
        while (true) {
            awaitCheck()
            if (progress.detectStall(nowMillis())) onStalled()
            if (!recovery.beginSearch(nowMillis())) continue
            val isFound = searchWhileSilent()
            if (isFound && recovery.shouldReplace(nowMillis())) return
            if (isFound) replacement.giveBack()
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
        cancelSearch = { search.cancel() }
        try {
            search.await()
        } catch (_: CancellationException) {
            // Rethrows if the attempt itself has ended.
            ensureActive()
            false
        } finally {
            cancelSearch = {}
        }
    }

    private companion object {
        /** A timer that fires later than this shows that the process did not run. */
        const val OWN_PAUSE_MILLIS = 250L
    }
}
