package io.lavenderhinge.experiments.ledger

import java.util.PriorityQueue

/**
 * Runs actions in order of virtual time. Actions due at the same time run in the order in which
 * they were scheduled.
 */
class VirtualClock {
    private class ScheduledAction(val atMicros: Long, val sequence: Long, val action: () -> Unit)

    private val queue =
        PriorityQueue(compareBy<ScheduledAction> { it.atMicros }.thenBy { it.sequence })
    private var sequence = 0L

    var nowMicros = START_MICROS
        private set

    val elapsedMillis: Long
        get() = (nowMicros - START_MICROS) / 1000

    fun scheduleAfter(delayMicros: Long, action: () -> Unit) {
        queue += ScheduledAction(nowMicros + maxOf(0, delayMicros), sequence++, action)
    }

    fun run(durationMillis: Long) {
        val endMicros = nowMicros + durationMillis * 1000
        while (true) {
            val next = queue.peek()?.takeIf { it.atMicros <= endMicros } ?: break
            queue.poll()
            nowMicros = next.atMicros
            next.action()
        }
        nowMicros = endMicros
    }

    private companion object {
        /** Epoch time with 13 digits in milliseconds, as in production. */
        const val START_MICROS = 1_780_000_000_000_000L
    }
}
