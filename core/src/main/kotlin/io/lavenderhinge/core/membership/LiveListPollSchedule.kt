package io.lavenderhinge.core.membership

import kotlin.random.Random

/**
 * Schedules the polls of the live list.
 *
 * The list grows with the fleet, and the interval with the list: each instance reads about 1 KB/s
 * of it, and the instances of a domain together still poll more than once a second.
 */
internal class LiveListPollSchedule(private val random: Random, startedAtMillis: Long) {
    private var nextMillis = startedAtMillis
    private var pending = false
    private var maximumIntervalMillis = MINIMUM_INTERVAL_MILLIS

    /** True when a poll is due. */
    fun isDue(nowMillis: Long): Boolean {
        if (nowMillis < nextMillis) return false
        // A poll without a result is abandoned after this timeout and repeated after another one.
        nextMillis = nowMillis + RESPONSE_TIMEOUT_MILLIS
        if (pending) {
            pending = false
            return false
        }
        pending = true
        return true
    }

    /** Records the end of a poll; [members] is the size of the list that was last read. */
    fun onResult(members: Int, nowMillis: Long) {
        pending = false
        // The list lags and misses instances that start at the same time, so a new instance polls
        // often at first and doubles its interval.
        nextMillis = nowMillis + jittered(minOf(maximumIntervalMillis, intervalMillis(members)))
        maximumIntervalMillis = minOf(maximumIntervalMillis * 2, MAXIMUM_INTERVAL_MILLIS)
    }

    // Jitter spreads the polls of the instances of a domain evenly over the interval.
    private fun jittered(millis: Long) = millis / 2 + random.nextLong(millis)

    companion object {
        private const val RESPONSE_TIMEOUT_MILLIS = 10_000L
        private const val MEMBER_BYTES = 150
        private const val BYTES_PER_SECOND = 1_000
        private const val MILLIS_PER_SECOND = 1_000L
        private const val MINIMUM_INTERVAL_MILLIS = 2_000L
        private const val MAXIMUM_INTERVAL_MILLIS = 600_000L

        /** Mean polling interval for a list of [members] members. */
        fun intervalMillis(members: Int): Long =
            maxOf(
                MINIMUM_INTERVAL_MILLIS,
                members * MEMBER_BYTES * MILLIS_PER_SECOND / BYTES_PER_SECOND,
            )
    }
}
