package io.lavenderhinge.core.forwarding

import java.util.PriorityQueue
import kotlin.random.Random

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

    /** Runs [action] at random intervals, [perSecond] times a second on average, in [period]. */
    fun arrivals(
        perSecond: Double,
        period: LongRange,
        random: Random,
        action: (nowMillis: Long) -> Unit,
    ) {
        var millis = period.first + random.nextDouble() * 1_000 / perSecond
        while (millis < period.last) {
            at(millis.toLong(), action)
            millis += 2 * random.nextDouble() * 1_000 / perSecond
        }
    }

    /** Sends the report of each of [dispatchers] to the others, where it arrives later. */
    fun exchangeReports(
        dispatchers: List<Dispatcher>,
        delayMillis: Long,
        nowMillis: Long,
        apply: (effects: List<DispatchEffect>, nowMillis: Long) -> Unit,
    ) =
        dispatchers.indices.forEach {
            sendReport(dispatchers, it, delayMillis, nowMillis, apply = apply)
        }

    /** Sends the report of the dispatcher with index [from] to those it [isDelivered] to. */
    fun sendReport(
        dispatchers: List<Dispatcher>,
        from: Int,
        delayMillis: Long,
        nowMillis: Long,
        isDelivered: (from: Int, to: Int, nowMillis: Long) -> Boolean = { _, _, _ -> true },
        apply: (effects: List<DispatchEffect>, nowMillis: Long) -> Unit,
    ) {
        val report = dispatchers[from].report(nowMillis)
        at(nowMillis + delayMillis) { millis ->
            dispatchers.forEachIndexed { to, peer ->
                if (to != from && isDelivered(from, to, nowMillis))
                    apply(peer.onPeerReport("$from", report, millis), millis)
            }
        }
    }

    /** Runs until no action is left. */
    fun run() {
        while (events.isNotEmpty()) {
            val event = events.remove()
            event.action(event.atMillis)
        }
    }
}
