package io.lavenderhinge.experiments.settings

import java.util.PriorityQueue

/**
 * Runs actions in order of virtual time. Actions due at the same time run in the order in which
 * they were scheduled.
 */
internal class EventQueue {
    private class ScheduledAction(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private val actions =
        PriorityQueue(compareBy<ScheduledAction> { it.atMillis }.thenBy { it.sequence })
    private var nextSequence = 0L

    var nowMillis = 0L
        private set

    fun scheduleAfter(delayMillis: Long, action: () -> Unit) {
        actions += ScheduledAction(nowMillis + delayMillis, nextSequence++, action)
    }

    fun scheduleAt(millis: Long, action: () -> Unit) =
        scheduleAfter(maxOf(0, millis - nowMillis), action)

    fun runUntil(millis: Long) {
        while (actions.isNotEmpty() && actions.peek().atMillis <= millis) {
            val next = actions.poll()
            nowMillis = next.atMillis
            next.action()
        }
        nowMillis = millis
    }
}
