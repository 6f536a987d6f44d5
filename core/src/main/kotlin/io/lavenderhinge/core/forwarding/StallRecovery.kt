package io.lavenderhinge.core.forwarding

/**
 * Decides when an attempt whose server is silent is replaced by one at another server.
 *
 * The server may be sound and go on, so its silence alone is no reason to end the attempt. It ends
 * only once another server has a slot for the request and the retry budget allows its use. Until
 * then the attempt goes on, and another server is sought from time to time.
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

    /** Records that no other server can take the request now. */
    fun onSearchFailed(nowMillis: Long) {
        nextSearchMillis = nowMillis + SEARCH_INTERVAL_MILLIS
    }

    /**
     * Decides whether the attempt ends because another server has a slot. Charges the retry budget
     * if so. Otherwise the slot has to be given back.
     */
    fun shouldReplace(nowMillis: Long): Boolean =
        progress.isSearchDue(nowMillis) && retries.tryUse(nowMillis)

    private companion object {
        const val MIN_CHECK_MILLIS = 20L
        const val SEARCH_INTERVAL_MILLIS = 200L
    }
}
