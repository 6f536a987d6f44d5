package io.lavenderhinge.core.settings

import kotlin.random.Random

/**
 * Schedules the calls to the platform: a listing at startup, then listings and watches on relays.
 */
internal class PlatformCallSchedule(private val random: Random, startedAtMillis: Long) {
    private var pendingSinceMillis: Long? = null
    private var failures = 0
    private var nextCallAtMillis = startedAtMillis + random.nextLong(START_JITTER_MILLIS)
    private var nextListAtMillis = 0L
    private var watchRevision = 0L
    private var listed = false

    /** Why the last call failed; null when it succeeded. */
    var fault: String? = "the platform has not been read yet"
        private set

    /** Returns the next call to make, or null when none is due. */
    fun next(relay: Boolean, ready: Boolean, nowMillis: Long): ReplicaEffect? {
        val pending = pendingSinceMillis
        if (pending != null && nowMillis - pending < RESPONSE_TIMEOUT_MILLIS) return null
        if (nowMillis < nextCallAtMillis) return null
        val call =
            when {
                !listed && !ready -> ReplicaEffect.ListPlatform
                !relay -> return null
                listed && nowMillis >= nextListAtMillis -> ReplicaEffect.ListPlatform
                else -> ReplicaEffect.WatchPlatform(watchRevision, WATCH_WAIT_MILLIS)
            }
        pendingSinceMillis = nowMillis
        return call
    }

    /** Records a successful listing. */
    fun onListed(nowMillis: Long) {
        listed = true
        nextListAtMillis = nowMillis + RELIST_MILLIS + random.nextLong(RELIST_MILLIS / 2)
        succeeded()
    }

    /** Records a successful watch; the next one starts after [revision]. */
    fun onWatched(revision: Long) {
        watchRevision = revision
        succeeded()
    }

    /** Records that the pending call failed with [message]. */
    fun onFailed(message: String, nowMillis: Long) {
        pendingSinceMillis = null
        fault = message
        failures = minOf(failures + 1, MAXIMUM_BACKOFF_DOUBLINGS)
        val ceiling = minOf(INITIAL_BACKOFF_MILLIS shl failures, MAXIMUM_BACKOFF_MILLIS)
        nextCallAtMillis = nowMillis + INITIAL_BACKOFF_MILLIS + random.nextLong(ceiling)
    }

    private fun succeeded() {
        pendingSinceMillis = null
        failures = 0
        fault = null
    }

    private companion object {
        const val START_JITTER_MILLIS = 500L
        const val INITIAL_BACKOFF_MILLIS = 500L

        // With a retry every 3 s on average, 10 relays stay far below the platform's read limit.
        const val MAXIMUM_BACKOFF_MILLIS = 5_000L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 5

        // A pending watch counts as one call: 10 relays make half a call per second.
        const val WATCH_WAIT_MILLIS = 20_000L

        // A lost response must not stop the watch permanently.
        const val RESPONSE_TIMEOUT_MILLIS = 30_000L

        // Limits how long a change that the watch missed goes unnoticed; the whole tree is about
        // 400 KB.
        const val RELIST_MILLIS = 600_000L
    }
}
