package io.lavenderhinge.instance.gateway

import java.util.concurrent.TimeUnit

/** Work of the traffic thread that grows with the size of the fleet. */
internal enum class TrafficActivity {
    /** Placing, queueing and refusing requests. */
    DECISIONS,
    /** Sending and reading load reports, without the decisions that follow. */
    REPORTS,
}

/** Measures how long the traffic thread spends on each [TrafficActivity]. Not thread-safe. */
internal class TrafficLoad(private val nanoTime: () -> Long = System::nanoTime) {
    private val spentNanos = LongArray(TrafficActivity.entries.size)
    private var current: TrafficActivity? = null
    private var currentSinceNanos = 0L

    /** Runs [block] and counts its time for [activity], except for that of inner activities. */
    fun <T> measured(activity: TrafficActivity, block: () -> T): T {
        val outer = current
        switchTo(activity)
        try {
            return block()
        } finally {
            switchTo(outer)
        }
    }

    /** Returns the total time of [activity]. */
    fun spentMillis(activity: TrafficActivity): Long =
        TimeUnit.NANOSECONDS.toMillis(spentNanos[activity.ordinal])

    private fun switchTo(next: TrafficActivity?) {
        val nowNanos = nanoTime()
        current?.let { spentNanos[it.ordinal] += nowNanos - currentSinceNanos }
        current = next
        currentSinceNanos = nowNanos
    }
}
