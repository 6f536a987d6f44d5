package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import kotlinx.coroutines.Deferred

/**
 * Permission to dispatch one request once, now. The holder ends it with exactly one of [done] and
 * [release]; later calls have no effect. Functions may be called from any thread.
 */
interface Slot {
    val requestId: String
    val server: ServerView

    /** Tokens of the prompt that the backend server probably has in its cache. */
    val cachedPrefixTokens: Int

    /**
     * Completes when a request of a higher tier needs the slot: the holder suspends the stream when
     * the engine can resume, otherwise cancels it, then calls [done]. Cancelled when the slot ends.
     */
    val preempted: Deferred<Unit>

    /** Reports the end of the request. */
    fun done(result: SlotResult)

    /** Returns the slot: nothing was sent. */
    fun release()
}
