package io.lavenderhinge.core.forwarding

import kotlin.random.Random
import kotlinx.collections.immutable.persistentSetOf

/** How the target version treats a request: its chance to fail and how much longer it takes. */
internal data class Behaviour(val failureFraction: Double = 0.0, val slowness: Double = 1.0)

/** A request of a played rollout as its server sees it. */
internal data class PlayedRequest(
    val route: String,
    val atMillis: Long,
    /** Part of the requests that the target version gets at that time. */
    val targetFraction: Double,
)

/**
 * Plays a rollout of [DURATION_MILLIS] on several instances that exchange reports, at the rate of a
 * small deployment, and counts what the target version got.
 */
internal class PlayedRollout(
    instanceCount: Int = 7,
    seed: Int = 1,
    private val requestsPerSecond: Int = 45,
    private val oldFailureFraction: Double = 0.01,
    private val target: (PlayedRequest) -> Behaviour,
) {
    private val random = Random(seed)
    private val boards = List(instanceCount) { RolloutBoard() }
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

    /** When the first instance reached a final verdict, since the order. */
    var endedMillis: Long? = null
        private set

    /** Requests at the target version more than half a second after the end. */
    var onTargetAfterEnd = 0
        private set

    var verdict = RolloutVerdict.IN_PROGRESS
        private set

    fun play(): PlayedRollout {
        boards.forEach { it.onServers(servers, nowMillis = -WARM_UP_MILLIS) }
        // Before the order the usual latency of each route is learned.
        for (atMillis in -WARM_UP_MILLIS until 0 step STEP_MILLIS) offer(atMillis)
        requests = 0
        boards.forEach { it.onOrder(order, nowMillis = 0) }
        for (atMillis in 0 until DURATION_MILLIS step STEP_MILLIS) {
            offer(atMillis)
            if (atMillis % REPORT_MILLIS == 0L) exchange(atMillis)
        }
        return this
    }

    private fun offer(atMillis: Long) {
        val expected = requestsPerSecond * STEP_MILLIS / 1_000.0
        repeat((expected + random.nextDouble()).toInt()) { request(atMillis) }
    }

    private fun request(atMillis: Long) {
        val board = boards.random(random)
        val route = ROUTES.random(random)
        val ask =
            ask(requests.toLong())
                .copy(
                    service = "s",
                    excludedServers = persistentSetOf(),
                    usesTargetVersion = board.usesTarget("s", route, boards.size),
                )
        val candidates =
            if (atMillis < 0) servers.filter { it.softwareVersion == "v1" }.map(::ServerRecord)
            else board.select(servers.map(::ServerRecord), ask)
        val server = candidates.random(random).entry
        requests++
        recent.addLast(server.softwareVersion == "v2")
        if (recent.size > RECENT) recent.removeFirst()
        board.sent(server)
        board.ended(server, route, outcome(server, route, atMillis), atMillis)
    }

    private fun outcome(server: ServerEntry, route: String, atMillis: Long): ServerOutcome {
        // Servers of a pool differ in speed whatever their version is.
        val hardware = 1.0 + (server.id[0] - 'a') % 3 * 0.5
        val millis = hardware * (40 + random.nextDouble() * 60)
        if (server.softwareVersion == "v1") return answer(millis, oldFailureFraction)
        onTarget++
        if (endedMillis?.let { atMillis > it + HALF_SECOND_MILLIS } == true) onTargetAfterEnd++
        val share = recent.count { it } / recent.size.toDouble()
        val behaviour = target(PlayedRequest(route, atMillis, share))
        val outcome = answer(millis * behaviour.slowness, behaviour.failureFraction)
        if (outcome is ServerOutcome.Failed || behaviour.slowness > 1) badAnswers++
        return outcome
    }

    private fun answer(millis: Double, failureFraction: Double): ServerOutcome =
        if (random.nextDouble() < failureFraction) ServerOutcome.Failed
        else ServerOutcome.Answered(millis, millis, promptTokens = 1_000.0, events = 0)

    private fun exchange(nowMillis: Long) {
        val reports = boards.map { it.reports(nowMillis) }
        val ids = boards.indices.map { "i$it" }
        boards.forEachIndexed { index, board ->
            reports.forEachIndexed { peer, report ->
                if (peer != index) board.onPeerReport(ids[peer], report, nowMillis)
            }
            board.advance(nowMillis)
            val seen = board.verdicts((ids - ids[index]).toSet(), nowMillis).getValue(order)
            if (seen != RolloutVerdict.IN_PROGRESS && endedMillis == null) {
                verdict = seen
                endedMillis = nowMillis
            }
        }
    }

    companion object {
        const val DURATION_MILLIS = 12_000L
        private const val WARM_UP_MILLIS = 20_000L
        private const val STEP_MILLIS = 20L
        private const val REPORT_MILLIS = 160L
        private const val HALF_SECOND_MILLIS = 500L
        private const val RECENT = 40
        private val ROUTES = listOf("r1", "r2", "r3", "r4", "r5")
    }
}
