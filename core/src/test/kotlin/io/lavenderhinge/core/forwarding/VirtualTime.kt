package io.lavenderhinge.core.forwarding

import java.util.PriorityQueue

/** Runs actions in the order of their virtual times. */
internal class VirtualTime {
    private class Event(val atMillis: Long, val order: Long, val action: (Long) -> Unit)

    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0L

    /** Runs [action] at [millis], after all actions that were scheduled earlier for that time. */
    fun at(millis: Long, action: (nowMillis: Long) -> Unit) {
        events += Event(millis, order++, action)
    }

    /** Runs [action] every [periodMillis] until [untilMillis]. */
    fun every(periodMillis: Long, untilMillis: Long, action: (nowMillis: Long) -> Unit) {
        for (millis in 0L until untilMillis step periodMillis) at(millis, action)
    }

    /** Runs until no action is left. */
    fun run() {
        while (events.isNotEmpty()) {
            val event = events.remove()
            event.action(event.atMillis)
        }
    }
}
