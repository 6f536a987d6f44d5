package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap

/** Estimates from earlier answers how long requests of a route run. */
internal class HoldTimes {
    private class Means(var firstEventMillis: Double, var eventIntervalMillis: Double)

    private val meansByRoute = LruMap<String, Means>(MAX_ROUTES)

    /** Adds a complete [answer] to a request of [route]. */
    fun add(route: String, answer: ServerOutcome.Answered) {
        val intervalMillis =
            (answer.holdMillis - answer.firstEventMillis) / answer.events.coerceAtLeast(1)
        val means = meansByRoute[route]
        if (means == null) {
            meansByRoute[route] = Means(answer.firstEventMillis, intervalMillis)
            return
        }
        means.firstEventMillis += (answer.firstEventMillis - means.firstEventMillis) * WEIGHT
        means.eventIntervalMillis += (intervalMillis - means.eventIntervalMillis) * WEIGHT
    }

    /**
     * Returns how long a request of [route] with [expectedEvents] in its response runs, or null if
     * no request of the route has been answered.
     */
    fun expectedMillis(route: String, expectedEvents: Double): Double? =
        meansByRoute[route]?.let { it.firstEventMillis + expectedEvents * it.eventIntervalMillis }

    private companion object {
        const val WEIGHT = 0.1
        const val MAX_ROUTES = 2_048
    }
}
