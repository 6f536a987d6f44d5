package io.lavenderhinge.experiments.time

import java.util.PriorityQueue

const val MICROS_PER_MILLI = 1_000L

const val MICROS_PER_SECOND = 1_000_000L

/** An action scheduled for [timeMicros] of virtual time. */
class ScheduledAction
internal constructor(
    val timeMicros: Long,
    private val sequenceNumber: Long,
    internal val run: () -> Unit,
) : Comparable<ScheduledAction> {
    internal var cancelled = false
        private set

    fun cancel() {
        cancelled = true
    }

    override fun compareTo(other: ScheduledAction): Int =
        compareValuesBy(this, other, { it.timeMicros }, { it.sequenceNumber })
}

/**
 * Discrete-event simulation loop. Runs actions in order of virtual time; actions with equal times
 * run in the order in which they were scheduled, so that a run is determined by its seed.
 */
class EventLoop {
    private val queue = PriorityQueue<ScheduledAction>()
    private var nextSequenceNumber = 0L

    var nowMicros = 0L
        private set

    val nowMillis: Long
        get() = nowMicros / MICROS_PER_MILLI

    /** Schedules [action] at [timeMicros], or at the current time if that is in the past. */
    fun at(timeMicros: Long, action: () -> Unit): ScheduledAction =
        ScheduledAction(maxOf(timeMicros, nowMicros), nextSequenceNumber++, action).also(queue::add)

    fun after(delayMicros: Long, action: () -> Unit): ScheduledAction =
        at(nowMicros + delayMicros, action)

    /** Runs [action] every [periodMicros] until it returns false. */
    fun every(periodMicros: Long, action: () -> Boolean) {
        after(periodMicros) { if (action()) every(periodMicros, action) }
    }

    /** Runs all actions up to and including [endMicros]. */
    fun runUntil(endMicros: Long) {
        while (queue.isNotEmpty() && queue.peek().timeMicros <= endMicros) runNext()
        nowMicros = maxOf(nowMicros, endMicros)
    }

    /** Runs actions until [condition] is false or none are left. */
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
