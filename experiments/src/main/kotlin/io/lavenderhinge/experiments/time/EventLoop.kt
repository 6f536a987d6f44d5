package io.lavenderhinge.experiments.time

import java.util.PriorityQueue

/** Microseconds in a millisecond. */
const val MICROS_PER_MILLI = 1_000L

/** Microseconds in a second. */
const val MICROS_PER_SECOND = 1_000_000L

/** An action due at [timeMicros]; [cancel] keeps it from running. */
class ScheduledAction
internal constructor(val timeMicros: Long, private val order: Long, internal val run: () -> Unit) :
    Comparable<ScheduledAction> {
    internal var cancelled = false
        private set

    fun cancel() {
        cancelled = true
    }

    override fun compareTo(other: ScheduledAction): Int =
        compareValuesBy(this, other, { it.timeMicros }, { it.order })
}

/**
 * Runs actions in order of virtual time, and in order of scheduling when times are equal, so that a
 * run depends on its seed only.
 */
class EventLoop {
    private val queue = PriorityQueue<ScheduledAction>()
    private var nextOrder = 0L

    var nowMicros = 0L
        private set

    val nowMillis: Long
        get() = nowMicros / MICROS_PER_MILLI

    /** Schedules [action] at [timeMicros], or now when that has passed. */
    fun at(timeMicros: Long, action: () -> Unit): ScheduledAction =
        ScheduledAction(maxOf(timeMicros, nowMicros), nextOrder++, action).also(queue::add)

    fun after(delayMicros: Long, action: () -> Unit): ScheduledAction =
        at(nowMicros + delayMicros, action)

    /** Runs [action] every [periodMicros] for as long as it returns true. */
    fun every(periodMicros: Long, action: () -> Boolean) {
        after(periodMicros) { if (action()) every(periodMicros, action) }
    }

    /** Runs all actions up to and including [endMicros]. */
    fun runUntil(endMicros: Long) {
        while (queue.isNotEmpty() && queue.peek().timeMicros <= endMicros) runNext()
        nowMicros = maxOf(nowMicros, endMicros)
    }

    /** Runs actions while [condition] holds and any is left. */
    fun runWhile(condition: () -> Boolean) {
        while (queue.isNotEmpty() && condition()) runNext()
    }

    private fun runNext() {
        val action = queue.poll()
        if (action.cancelled) return
        nowMicros = action.timeMicros
        action.run()
    }
}
