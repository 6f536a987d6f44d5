package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.quarantine.RequestDigest
import kotlin.random.Random

/** A server with [slots] slots that takes [slowness] times as long as a fast one. */
internal class SimulatedServer(
    val id: String,
    val slots: Int,
    val slowness: Double,
    val failureDomain: String = "d",
) {
    private val freeAtMillis = LongArray(slots)

    /** Runs a request that arrives at [nowMillis] and returns its start and end times. */
    fun run(nowMillis: Long, holdMillis: Double): LongRange {
        val slot = freeAtMillis.indices.minBy { freeAtMillis[it] }
        val startMillis = maxOf(nowMillis, freeAtMillis[slot])
        freeAtMillis[slot] = startMillis + (holdMillis * slowness).toLong()
        return startMillis..freeAtMillis[slot]
    }
}

/** The result of one request. [firstEventMillis] is null when the request was rejected. */
internal class SimulatedResult(
    val priority: Int,
    val firstEventMillis: Long?,
    /** Time that the request spent in the queue. */
    val queuedMillis: Long,
    /** Where and when the request was sent; null when it was rejected. */
    val send: SimulatedSend? = null,
    val workspace: String? = null,
    val arrivedMillis: Long = 0,
    /** Slot time that the request used; 0 if it was rejected. */
    val slotMillis: Long = 0,
    /** True if the client came back after it was rejected and had waited as told. */
    val isReturn: Boolean = false,
)

/** How clients that were rejected come back. */
internal class SimulatedRetries(
    /** Fraction of the clients that retry at once, and up to three times. */
    val impatientFraction: Double
)

/** A request that [instance] sent to a server of [failureDomain]. */
internal class SimulatedSend(
    val instance: Int,
    val failureDomain: String,
    val sentMillis: Long,
    val endMillis: Long,
)

/** The work and the times of a kind of request, on a server of slowness 1. */
internal class SimulatedWork(
    val holdMillis: Double = 400.0,
    val firstEventMillis: Double = 80.0,
    val targetMillis: Long = 600,
    /** Time after which the client gives up waiting for the first event. */
    val patienceMillis: Long = 10_000,
    val deadlineMillis: Long = 10_000,
)

/** A request rate of one priority at one instance during a time interval. */
internal data class SimulatedTraffic(
    val instance: Int,
    val priority: Int,
    val perSecond: Double,
    val fromMillis: Long,
    val untilMillis: Long,
    val work: SimulatedWork = SimulatedWork(),
    val workspace: String? = null,
)

/** When instances report their load and how late the reports arrive. */
internal sealed interface SimulatedReports {
    val delayMillis: Long

    /** All instances report at the same times. */
    data class Periodic(val periodMillis: Long) : SimulatedReports {
        override val delayMillis = periodMillis
    }

    /** An instance reports each change, but not within [pauseMillis] of its last report. */
    data class OnChange(val pauseMillis: Long, override val delayMillis: Long) : SimulatedReports
}

/**
 * Simulates traffic in virtual time on dispatchers whose load reports arrive late.
 *
 * There is no network and no engine: a request occupies a slot and produces its first event after
 * the times of its [SimulatedWork], multiplied by the slowness of the server.
 */
internal class LoadSimulation(
    instanceCount: Int,
    private val servers: List<SimulatedServer>,
    private val reports: SimulatedReports = SimulatedReports.Periodic(20),
    private val features: SchedulingFeatures = SchedulingFeatures(),
    /** Whether a report that is sent at a time between two instances arrives. */
    private val retries: SimulatedRetries? = null,
    private val isDelivered: (from: Int, to: Int, nowMillis: Long) -> Boolean = { _, _, _ -> true },
) {
    private class PendingRequest(
        val request: DispatchRequest,
        val traffic: SimulatedTraffic,
        val retryCount: Int,
        val isImpatient: Boolean,
    ) {
        val isReturn: Boolean
            get() = retryCount > 0 && !isImpatient
    }

    private val clientRandom = Random(0)

    private val time = VirtualTime()
    private val openRequests = HashMap<Long, PendingRequest>()
    private val results = mutableListOf<SimulatedResult>()
    private val entries =
        servers.map { server(it.id, slots = it.slots).copy(failureDomain = it.failureDomain) }
    private val dispatchers = MutableList(instanceCount) { startDispatcher(it, nowMillis = 0) }
    private val reporters = List(instanceCount) { ChangeReporter() }
    private var lastRequestId = 0L

    private fun startDispatcher(number: Int, nowMillis: Long) =
        Dispatcher("d", random = Random(number), features = features).apply {
            onServers(entries, nowMillis)
        }

    /** Restarts an instance at [millis]; its queued requests and its state are lost. */
    fun restartAt(millis: Long, instance: Int) =
        time.at(millis) { nowMillis ->
            openRequests.values.removeIf { it.traffic.instance == instance }
            dispatchers[instance] = startDispatcher(instance, nowMillis)
        }

    /** Lets [instance] learn at [atMillis] that the domains in [read] are evacuated. */
    fun evacuate(instance: Int, atMillis: Long, read: EvacuationRead) =
        time.at(atMillis) { nowMillis ->
            val state = dispatchers[instance].evacuations().after(read, nowMillis)
            dispatchers[instance].evacuations = { state }
            apply(dispatchers[instance].serveQueues(nowMillis), nowMillis)
        }

    private class ChangeReporter {
        var lastSentMillis = 0L
        var isScheduled = false
    }

    /** Simulates [traffic] until [untilMillis] and returns the result of each request. */
    fun run(traffic: List<SimulatedTraffic>, untilMillis: Long, seed: Int): List<SimulatedResult> {
        val random = Random(seed)
        traffic.forEach { kind ->
            val period = kind.fromMillis..kind.untilMillis
            time.arrivals(kind.perSecond, period, random) { arrive(kind, it) }
        }
        startReports(untilMillis)
        time.every(TICK_MILLIS, untilMillis, ::advance)
        time.run()
        return results
    }

    private fun startReports(untilMillis: Long) =
        when (reports) {
            is SimulatedReports.Periodic ->
                time.every(reports.periodMillis, untilMillis) { nowMillis ->
                    dispatchers.indices.forEach { report(it, nowMillis) }
                }
            is SimulatedReports.OnChange ->
                time.every(HEARTBEAT_MILLIS, untilMillis) { nowMillis ->
                    reporters.indices
                        .filter { nowMillis - reporters[it].lastSentMillis >= HEARTBEAT_MILLIS }
                        .forEach { report(it, nowMillis) }
                }
        }

    private fun report(instance: Int, nowMillis: Long) {
        reporters[instance].lastSentMillis = nowMillis
        time.sendReport(dispatchers, instance, reports.delayMillis, nowMillis, isDelivered, ::apply)
    }

    private fun onChange(instance: Int, nowMillis: Long) {
        if (reports !is SimulatedReports.OnChange) return
        val reporter = reporters[instance]
        if (reporter.isScheduled) return
        reporter.isScheduled = true
        time.at(maxOf(nowMillis + 1, reporter.lastSentMillis + reports.pauseMillis)) {
            reporter.isScheduled = false
            report(instance, it)
        }
    }

    private fun arrive(traffic: SimulatedTraffic, nowMillis: Long) {
        val work = traffic.work
        val id = lastRequestId + 1
        val request =
            request(
                    ++lastRequestId,
                    traffic.priority,
                    arrivedMillis = nowMillis,
                    targetMillis = nowMillis + work.targetMillis,
                    deadlineMillis = nowMillis + work.deadlineMillis,
                )
                .copy(
                    firstEventDeadlineMillis = nowMillis + work.patienceMillis,
                    workspace = traffic.workspace,
                    digest = RequestDigest(null, "POST", "/$id", ByteArray(0)),
                )
        val isImpatient = retries != null && clientRandom.nextDouble() < retries.impatientFraction
        submit(PendingRequest(request, traffic, retryCount = 0, isImpatient), nowMillis)
    }

    private fun submit(pending: PendingRequest, nowMillis: Long) {
        val request = pending.request
        val traffic = pending.traffic
        openRequests[request.id] = pending
        apply(dispatchers[traffic.instance].submit(request, nowMillis), nowMillis)
        onChange(traffic.instance, nowMillis)
    }

    private fun apply(effects: List<DispatchEffect>, nowMillis: Long) =
        effects.forEach { effect ->
            val pending = openRequests.remove(effect.requestId) ?: return@forEach
            val queuedMillis = nowMillis - pending.request.arrivedMillis
            when (effect) {
                is DispatchEffect.Refuse -> {
                    results +=
                        SimulatedResult(
                            pending.request.priority,
                            null,
                            queuedMillis,
                            workspace = pending.request.workspace,
                            arrivedMillis = pending.request.arrivedMillis,
                            isReturn = pending.isReturn,
                        )
                    if (retries != null) retry(pending, effect, nowMillis)
                }
                is DispatchEffect.Assign -> startRequest(pending, effect.server, nowMillis)
            }
        }

    /** Lets the client come back at any instance, with another id and the same deadline. */
    private fun retry(pending: PendingRequest, refusal: DispatchEffect.Refuse, nowMillis: Long) {
        val maxRetries = if (pending.isImpatient) IMPATIENT_RETRIES else 1
        if (pending.retryCount >= maxRetries) return
        val jitter = if (refusal.isPaced) 1.0 else 1 + clientRandom.nextDouble()
        val delayMillis =
            if (pending.isImpatient) 0 else (refusal.retryAfterMillis * jitter).toLong()
        val old = pending.request
        if (delayMillis > (old.deadlineMillis - nowMillis) / 3) return
        val work = pending.traffic.work
        time.at(nowMillis + delayMillis + ROUND_TRIP_MILLIS) { millis ->
            val request =
                old.copy(
                    id = ++lastRequestId,
                    arrivedMillis = millis,
                    targetMillis = millis + work.targetMillis,
                    firstEventDeadlineMillis =
                        minOf(millis + work.patienceMillis, old.deadlineMillis),
                )
            val traffic = pending.traffic.copy(instance = clientRandom.nextInt(dispatchers.size))
            submit(
                PendingRequest(request, traffic, pending.retryCount + 1, pending.isImpatient),
                millis,
            )
        }
    }

    private fun startRequest(pending: PendingRequest, entry: ServerEntry, nowMillis: Long) {
        val server = servers.first { it.id == entry.id }
        val work = pending.traffic.work
        val run = server.run(nowMillis, work.holdMillis)
        val firstMillis = run.first + (work.firstEventMillis * server.slowness).toLong()
        results +=
            SimulatedResult(
                pending.request.priority,
                firstMillis - pending.request.arrivedMillis,
                nowMillis - pending.request.arrivedMillis,
                SimulatedSend(pending.traffic.instance, server.failureDomain, nowMillis, run.last),
                pending.request.workspace,
                pending.request.arrivedMillis,
                run.last - run.first,
                pending.isReturn,
            )
        time.at(run.last) { finishRequest(pending, entry, nowMillis, firstMillis, it) }
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
        val attempt =
            finished(
                entry,
                outcome,
                pending.request.promptTokens,
                isPromptPending = true,
                pending.request,
                sentMillis,
            )
        val effects = dispatchers[pending.traffic.instance].onFinished(attempt, nowMillis)
        apply(effects, nowMillis)
        onChange(pending.traffic.instance, nowMillis)
    }

    private fun advance(nowMillis: Long) =
        dispatchers.forEach { dispatcher -> apply(dispatcher.serveQueues(nowMillis), nowMillis) }

    companion object {
        const val TICK_MILLIS = 10L
        const val ROUND_TRIP_MILLIS = 6L
        const val IMPATIENT_RETRIES = 3
        const val HEARTBEAT_MILLIS = 250L
    }
}
