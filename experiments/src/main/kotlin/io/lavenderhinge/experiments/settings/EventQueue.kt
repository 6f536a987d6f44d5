package io.lavenderhinge.experiments.settings

import java.util.PriorityQueue

/** Virtual time: actions run in the order of their time, and of their entry at the same time. */
internal class EventQueue {
    private class Entry(val atMillis: Long, val order: Long, val action: () -> Unit)

    private val entries = PriorityQueue(compareBy<Entry> { it.atMillis }.thenBy { it.order })
    private var count = 0L

    var nowMillis = 0L
        private set

    fun after(delayMillis: Long, action: () -> Unit) {
        entries += Entry(nowMillis + delayMillis, count++, action)
    }

    fun at(millis: Long, action: () -> Unit) = after(maxOf(0, millis - nowMillis), action)

    fun runUntil(millis: Long) {
        while (entries.isNotEmpty() && entries.peek().atMillis <= millis) {
            val entry = entries.poll()
            nowMillis = entry.atMillis
            entry.action()
        }
        nowMillis = millis
    }
}
