package io.lavenderhinge.core.forwarding

import kotlin.random.Random
import kotlinx.collections.immutable.persistentSetOf

/** Behaviour of the target version: its failure probability and its relative latency. */
internal data class Behaviour(val failureFraction: Double = 0.0, val slowness: Double = 1.0)

/** A request of a simulated rollout, as input for the behaviour of the target version. */
internal data class SimulatedRequest(
    val route: String,
    val atMillis: Long,
    /** Fraction of recent requests that the target version got. */
    val targetFraction: Double,
)

/**
 * Simulates a rollout of [DURATION_MILLIS] on several instances that exchange reports, at the
 * request rate of a small deployment, and counts the requests of the target version.
 */
internal class RolloutSimulation(
    instanceCount: Int = 7,
    seed: Int = 1,
    private val requestsPerSecond: Int = 45,
    private val oldFailureFraction: Double = 0.01,
    /** Time before the order in which latencies of the old version are known. */
    private val warmUpMillis: Long = 20_000,
    /** Instances that hear from no other, and are not heard, from [cutFromMillis] on. */
    private val cutInstances: Int = 0,
    private val cutFromMillis: Long = 0,
    /** Times at which an instance starts anew, one after the other. */
    private val restartMillis: List<Long> = emptyList(),
    /** Multiple of the usual rate of requests, by time. */
    private val rateFactor: (Long) -> Double = { 1.0 },
    private val target: (SimulatedRequest) -> Behaviour,
) {
    private val random = Random(seed)
    private val trackers = MutableList(instanceCount) { RolloutTracker() }
    private val order = RolloutOrder("s", "v2", DURATION_MILLIS, revision = 5)
    private val servers =
        listOf("a" to "v1", "b" to "v1", "c" to "v1", "d" to "v2", "e" to "v2", "f" to "v2").map {
            (id, version) ->
            server(id).copy(service = "s", softwareVersion = version)
        }
    private val recent = ArrayDeque<Boolean>()
    var requests = 0
        private set

    var onTarget = 0
        private set

    var badAnswers = 0
        private set

    /** Time from the order to the first final verdict of an instance. */
    var endedMillis: Long? = null
        private set

    /** Requests sent to the target version more than half a second after the end. */
    var onTargetAfterEnd = 0
        private set

    var verdict = RolloutVerdict.IN_PROGRESS
        private set

    fun run(): RolloutSimulation {
        trackers.forEach { it.onServers(servers, nowMillis = -warmUpMillis) }
        // Collects baseline latencies of each route before the order.
        for (atMillis in -warmUpMillis until 0 step STEP_MILLIS) generateRequests(atMillis)
        requests = 0
        trackers.forEach { it.onOrder(order, nowMillis = 0) }
        for (atMillis in 0 until DURATION_MILLIS step STEP_MILLIS) {
            restartMillis.indexOf(atMillis).takeIf { it >= 0 }?.let { restart(it, atMillis) }
            generateRequests(atMillis)
            if (atMillis % REPORT_MILLIS == 0L) exchangeReports(atMillis)
        }
        return this
    }

    private fun restart(index: Int, nowMillis: Long) {
        trackers[index] = RolloutTracker()
        trackers[index].onServers(servers, nowMillis)
        trackers[index].onOrder(order, nowMillis)
    }

    private fun generateRequests(atMillis: Long) {
        val expected = requestsPerSecond * rateFactor(atMillis) * STEP_MILLIS / 1_000.0
        repeat((expected + random.nextDouble()).toInt()) { sendRequest(atMillis) }
    }

    private fun sendRequest(atMillis: Long) {
        val tracker = trackers.random(random)
        val route = ROUTES.random(random)
        val request =
            request(requests.toLong())
                .copy(
                    service = "s",
                    excludedServers = persistentSetOf(),
                    usesTargetVersion = tracker.shouldUseTarget("s", route, trackers.size),
                )
        val candidates =
            if (atMillis < 0) servers.filter { it.softwareVersion == "v1" }.map(::ServerRecord)
            else tracker.select(servers.map(::ServerRecord), request)
        val server = candidates.random(random).entry
        requests++
        recent.addLast(server.softwareVersion == "v2")
        if (recent.size > RECENT_REQUESTS) recent.removeFirst()
        tracker.onRequestSent(server)
        tracker.onRequestEnded(server, route, outcome(server, route, atMillis), atMillis)
    }

    private fun outcome(server: ServerEntry, route: String, atMillis: Long): ServerOutcome {
        // Servers of a pool differ in speed regardless of their version.
        val hardware = 1.0 + (server.id[0] - 'a') % 3 * 0.5
        val millis = hardware * (40 + random.nextDouble() * 60)
        if (server.softwareVersion == "v1") return answer(millis, oldFailureFraction)
        onTarget++
        if (endedMillis?.let { atMillis > it + HALF_SECOND_MILLIS } == true) onTargetAfterEnd++
        val share = recent.count { it } / recent.size.toDouble()
        val behaviour = target(SimulatedRequest(route, atMillis, share))
        val outcome = answer(millis * behaviour.slowness, behaviour.failureFraction)
        if (outcome is ServerOutcome.Failed || behaviour.slowness > 1) badAnswers++
        return outcome
    }

    private fun answer(millis: Double, failureFraction: Double): ServerOutcome =
        if (random.nextDouble() < failureFraction) ServerOutcome.Failed
        else ServerOutcome.Answered(millis, millis, promptTokens = 1_000.0, events = 0)

    private fun exchangeReports(nowMillis: Long) {
        val reports = trackers.map { it.reports(nowMillis) }
        val ids = trackers.indices.map { "i$it" }
        trackers.forEachIndexed { index, tracker ->
            reports.forEachIndexed { peer, report ->
                if (hears(index, peer, nowMillis))
                    tracker.onPeerReport(ids[peer], report, nowMillis)
            }
            tracker.advance(nowMillis)
            val seen = tracker.verdicts((ids - ids[index]).toSet(), nowMillis).getValue(order)
            if (seen != RolloutVerdict.IN_PROGRESS && endedMillis == null) {
                verdict = seen
                endedMillis = nowMillis
            }
        }
    }

    private fun hears(index: Int, peer: Int, nowMillis: Long): Boolean {
        if (index == peer) return false
        return nowMillis < cutFromMillis || minOf(index, peer) >= cutInstances
    }

    companion object {
        const val DURATION_MILLIS = 12_000L
        private const val STEP_MILLIS = 20L
        private const val REPORT_MILLIS = 160L
        private const val HALF_SECOND_MILLIS = 500L
        private const val RECENT_REQUESTS = 40
        private val ROUTES = listOf("r1", "r2", "r3", "r4", "r5")
    }
}
