package io.lavenderhinge.core.settings

import kotlin.random.Random

/** Decides when an instance calls the platform: once at its start, and as a relay. */
internal class PlatformCallSchedule(private val random: Random, startedAtMillis: Long) {
    private var pendingSinceMillis: Long? = null
    private var failures = 0
    private var nextCallAtMillis = startedAtMillis + random.nextLong(START_JITTER_MILLIS)
    private var nextListAtMillis = 0L
    private var watchRevision = 0L
    private var listed = false

    /** Why the last call failed; null after one that succeeded. */
    var fault: String? = "the platform was not read yet"
        private set

    /** The next call to make, or null. */
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

    /** A listing succeeded. */
    fun onListed(nowMillis: Long) {
        listed = true
        nextListAtMillis = nowMillis + RELIST_MILLIS + random.nextLong(RELIST_MILLIS / 2)
        succeeded()
    }

    /** A watch succeeded; the next one begins after [revision]. */
    fun onWatched(revision: Long) {
        watchRevision = revision
        succeeded()
    }

    /** The pending call failed with [message]. */
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

        // 10 relays retrying every 3 s on average stay far below the platform's read limit.
        const val MAXIMUM_BACKOFF_MILLIS = 5_000L
        const val MAXIMUM_BACKOFF_DOUBLINGS = 5

        // A pending watch is one call: 10 relays make half a call a second.
        const val WATCH_WAIT_MILLIS = 20_000L

        // An answer that never comes must not end the watch for good.
        const val RESPONSE_TIMEOUT_MILLIS = 30_000L

        // Bounds what a watch that lost a change can hide; the whole tree is about 400 KB.
        const val RELIST_MILLIS = 600_000L
    }
}
