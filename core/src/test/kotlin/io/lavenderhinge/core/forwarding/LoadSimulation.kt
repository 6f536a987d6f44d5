package io.lavenderhinge.core.forwarding

import java.util.PriorityQueue
import kotlin.random.Random

/** A server that runs [slots] requests at once, each [slowness] times as long as on a fast one. */
internal class SimulatedServer(val id: String, val slots: Int, val slowness: Double) {
    private val freeAtMillis = LongArray(slots)

    /** Runs a request that arrives now and returns when it starts and ends. */
    fun run(nowMillis: Long, holdMillis: Double): LongRange {
        val slot = freeAtMillis.indices.minBy { freeAtMillis[it] }
        val startMillis = maxOf(nowMillis, freeAtMillis[slot])
        freeAtMillis[slot] = startMillis + (holdMillis * slowness).toLong()
        return startMillis..freeAtMillis[slot]
    }
}

/** What a caller got. [firstEventMillis] is null when its request was refused. */
internal class SimulatedResult(val priority: Int, val firstEventMillis: Long?)

/** Requests a second of one priority at one instance between two times. */
internal class SimulatedTraffic(
    val instance: Int,
    val priority: Int,
    val perSecond: Double,
    val fromMillis: Long,
    val untilMillis: Long,
)

/**
 * Plays traffic against dispatchers that hear each other [REPORT_MILLIS] late, in virtual time.
 *
 * It has no network and no engine: a request holds a slot for [HOLD_MILLIS] and its first event
 * comes [FIRST_EVENT_MILLIS] after its start, both times the slowness of the server.
 */
internal class LoadSimulation(instanceCount: Int, private val servers: List<SimulatedServer>) {
    private class Event(val atMillis: Long, val order: Long, val action: (Long) -> Unit)

    private class PendingRequest(val request: DispatchRequest, val instance: Int)

    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private val openRequests = HashMap<Long, PendingRequest>()
    private val results = mutableListOf<SimulatedResult>()
    private val entries = servers.map { server(it.id, slots = it.slots) }
    private val dispatchers =
        List(instanceCount) { Dispatcher("d").apply { onServers(entries, nowMillis = 0) } }
    private var order = 0L

    /** Plays [traffic] for [untilMillis] and returns what callers got. */
    fun run(traffic: List<SimulatedTraffic>, untilMillis: Long, seed: Int): List<SimulatedResult> {
        val random = Random(seed)
        traffic.forEach { scheduleTraffic(it, random) }
        for (millis in 0L until untilMillis step REPORT_MILLIS) scheduleAt(
            millis,
            ::exchangeReports,
        )
        for (millis in 0L until untilMillis step TICK_MILLIS) scheduleAt(millis, ::advance)
        while (events.isNotEmpty()) {
            val event = events.remove()
            event.action(event.atMillis)
        }
        return results
    }

    private fun scheduleTraffic(traffic: SimulatedTraffic, random: Random) {
        var millis = traffic.fromMillis.toDouble()
        while (millis < traffic.untilMillis) {
            scheduleAt(millis.toLong()) { arrive(traffic, it) }
            millis += 2 * random.nextDouble() * 1_000 / traffic.perSecond
        }
    }

    private fun arrive(traffic: SimulatedTraffic, nowMillis: Long) {
        val request = request(++order, traffic.priority, arrivedMillis = nowMillis)
        openRequests[request.id] = PendingRequest(request, traffic.instance)
        apply(dispatchers[traffic.instance].submit(request, nowMillis), nowMillis)
    }

    private fun apply(effects: List<DispatchEffect>, nowMillis: Long) =
        effects.forEach { effect ->
            val pending = openRequests.remove(effect.requestId) ?: return@forEach
            when (effect) {
                is DispatchEffect.Refuse ->
                    results += SimulatedResult(pending.request.priority, null)
                is DispatchEffect.Assign -> startRequest(pending, effect.server, nowMillis)
            }
        }

    private fun startRequest(pending: PendingRequest, entry: ServerEntry, nowMillis: Long) {
        val server = servers.first { it.id == entry.id }
        val run = server.run(nowMillis, HOLD_MILLIS)
        val firstMillis = run.first + (FIRST_EVENT_MILLIS * server.slowness).toLong()
        results +=
            SimulatedResult(pending.request.priority, firstMillis - pending.request.arrivedMillis)
        scheduleAt(run.last) { finishRequest(pending, entry, nowMillis, firstMillis, it) }
    }

    private fun finishRequest(
        pending: PendingRequest,
        entry: ServerEntry,
        sentMillis: Long,
        firstMillis: Long,
        nowMillis: Long,
    ) {
        val outcome =
            ServerOutcome.Answered(
                firstEventMillis = (firstMillis - sentMillis).toDouble(),
                holdMillis = (nowMillis - sentMillis).toDouble(),
                promptTokens = pending.request.promptTokens,
                events = 0,
            )
        val effects =
            dispatchers[pending.instance].onFinished(
                entry,
                outcome,
                pending.request.promptTokens,
                promptPending = true,
                nowMillis,
            )
        apply(effects, nowMillis)
    }

    private fun exchangeReports(nowMillis: Long) =
        dispatchers.forEachIndexed { from, dispatcher ->
            val report = dispatcher.report(nowMillis)
            scheduleAt(nowMillis + REPORT_MILLIS) { millis ->
                dispatchers.forEachIndexed { to, peer ->
                    if (to != from) apply(peer.onPeerReport("$from", report, millis), millis)
                }
            }
        }

    private fun advance(nowMillis: Long) =
        dispatchers.forEach { dispatcher -> apply(dispatcher.serveQueues(nowMillis), nowMillis) }

    private fun scheduleAt(millis: Long, action: (Long) -> Unit) {
        events += Event(millis, ++order, action)
    }

    companion object {
        const val REPORT_MILLIS = 20L
        const val TICK_MILLIS = 10L
        const val HOLD_MILLIS = 400.0
        const val FIRST_EVENT_MILLIS = 80.0
    }
}
