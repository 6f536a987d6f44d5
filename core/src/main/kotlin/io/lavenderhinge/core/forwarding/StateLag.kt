package io.lavenderhinge.core.forwarding

/**
 * Measures for how long the own revision of some state has been older than the newest one that a
 * peer has reported. Reports of peers that are behind as well do not end this time.
 *
 * Times are milliseconds on the monotonic clock. Not thread-safe: all calls must come from one
 * thread.
 */
class StateLag {
    private var newestRevision = 0L
    private var behindRevision = 0L
    private var behindSinceMillis: Long? = null

    /**
     * Records the revision that a peer [reported] and returns for how long the [own] one has been
     * out of date; 0 if it is not.
     */
    fun onReported(reported: Long, own: Long, nowMillis: Long): Long {
        newestRevision = maxOf(newestRevision, reported)
        if (own >= newestRevision) {
            behindSinceMillis = null
            return 0
        }
        val sinceMillis = behindSinceMillis.takeIf { own == behindRevision } ?: nowMillis
        behindRevision = own
        behindSinceMillis = sinceMillis
        return nowMillis - sinceMillis
    }
}
