package io.lavenderhinge.core.membership

import kotlin.random.Random

/**
 * When an instance reads the list.
 *
 * The list grows with the fleet, so the interval does too: each instance spends about 1 KB/s on it,
 * and the instances of a domain together still read it more than once a second.
 */
internal class LiveListPollSchedule(private val random: Random, startedAtMillis: Long) {
    private var nextMillis = startedAtMillis
    private var pending = false
    private var maximumIntervalMillis = MINIMUM_INTERVAL_MILLIS

    /** True when the list is to be read now. */
    fun isDue(nowMillis: Long): Boolean {
        if (nowMillis < nextMillis) return false
        // An answer that never comes counts as a failure after one more interval.
        nextMillis = nowMillis + RESPONSE_TIMEOUT_MILLIS
        if (pending) {
            pending = false
            return false
        }
        pending = true
        return true
    }

    /** The list was read with [members] members, or not at all. */
    fun onResult(members: Int, nowMillis: Long) {
        pending = false
        // The lagging list misses those that start together, so a new instance reads it often.
        nextMillis = nowMillis + jittered(minOf(maximumIntervalMillis, intervalMillis(members)))
        maximumIntervalMillis = minOf(maximumIntervalMillis * 2, MAXIMUM_INTERVAL_MILLIS)
    }

    // The jitter spreads the readers of a domain evenly over the interval.
    private fun jittered(millis: Long) = millis / 2 + random.nextLong(millis)

    companion object {
        private const val RESPONSE_TIMEOUT_MILLIS = 10_000L
        private const val MEMBER_BYTES = 150
        private const val BYTES_PER_SECOND = 1_000
        private const val MILLIS_PER_SECOND = 1_000L
        private const val MINIMUM_INTERVAL_MILLIS = 2_000L
        private const val MAXIMUM_INTERVAL_MILLIS = 600_000L

        /** Mean time between two reads of a list with [members] members. */
        fun intervalMillis(members: Int): Long =
            maxOf(
                MINIMUM_INTERVAL_MILLIS,
                members * MEMBER_BYTES * MILLIS_PER_SECOND / BYTES_PER_SECOND,
            )
    }
}
