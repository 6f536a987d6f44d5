package io.lavenderhinge.core.forwarding

/**
 * Decides when a request whose server is silent is sent to another server.
 *
 * The server may be sound and go on, so its silence alone is no reason to end its attempt. Another
 * server is sought from time to time, and gets the request if it has a slot and the retry budget
 * allows it. [Handover] then decides which of the two attempts goes on.
 *
 * Times are milliseconds on the monotonic clock. Not thread-safe: all calls must come from one
 * thread.
 */
class StallRecovery(private val progress: AttemptProgress, private val retries: RetryAllowance) {
    private var nextSearchMillis = Long.MIN_VALUE

    /** Returns how long to wait before the state of the attempt has to be checked again. */
    fun checkDelayMillis(nowMillis: Long): Long =
        (maxOf(progress.searchMillis, nextSearchMillis) - nowMillis).coerceAtLeast(MIN_CHECK_MILLIS)

    /**
     * Returns true if another server is to be sought now. If the budget does not allow it, it is
     * asked again later.
     */
    fun beginSearch(nowMillis: Long): Boolean {
        if (!progress.isSearchDue(nowMillis) || nowMillis < nextSearchMillis) return false
        if (retries.isAllowed(nowMillis)) return true
        onSearchFailed(nowMillis)
        return false
    }

    /** Records that no other server has taken the request. */
    fun onSearchFailed(nowMillis: Long) {
        nextSearchMillis = nowMillis + SEARCH_INTERVAL_MILLIS
    }

    /**
     * Decides whether the request is sent to another server, which has a slot for it. Charges the
     * retry budget if so. Otherwise the slot has to be given back.
     */
    fun beginHandover(nowMillis: Long): Boolean =
        progress.isSearchDue(nowMillis) && retries.tryUse(nowMillis)

    private companion object {
        const val MIN_CHECK_MILLIS = 20L
        const val SEARCH_INTERVAL_MILLIS = 200L
    }
}
