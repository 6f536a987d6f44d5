package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.scheduling.SlotResult
import kotlinx.coroutines.Deferred

/**
 * Permission to dispatch one request exactly once. The holder must end it with either [done] or
 * [release]; later calls have no effect. All functions are thread-safe.
 */
interface Slot {
    val requestId: String
    val server: ServerView

    /** Estimated number of prompt tokens in the cache of the backend server. */
    val cachedPrefixTokens: Int

    /**
     * Completes when a request of a higher tier needs the slot. The holder then suspends the stream
     * if the engine supports resumption, or cancels it otherwise, and calls [done]. Cancelled when
     * the slot ends.
     */
    val preempted: Deferred<Unit>

    /** Reports that the request has ended with [result]. */
    fun done(result: SlotResult)

    /** Returns the slot unused; nothing was sent. */
    fun release()
}
