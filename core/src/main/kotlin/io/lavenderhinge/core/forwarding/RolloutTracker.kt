package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.rollout.LatencyQuantile
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.VersionCounts

/** Tracks the active rollout orders and the observed results of old and new versions. */
class RolloutTracker(private val limit: ExposureLimit = ExposureLimit()) {
    private val rollouts = HashMap<String, ServiceRollout>()
    private val inFlight = HashMap<ServiceVersion, Int>()
    private val warmedUpMillis = HashMap<String, Long>()
    private val serviceLatencies = LatencyTable { LatencyQuantile(MIN_SERVICE_SAMPLES) }
    private val routeLatencies = LatencyTable(::LatencyQuantile)
    private val holdTimes = HoldTimes()

    /** Starts the rollout of [order]; an order that is already known is ignored. */
    fun onOrder(order: RolloutOrder, nowMillis: Long) {
        val known = rollouts[order.service]
        if (known != null && known.order.revision >= order.revision) return
        rollouts[order.service] = ServiceRollout(order, nowMillis, limit) { oldInFlight(order) }
    }

    /**
     * Continues the rollout of [order], which a restored store lists at another revision. It is
     * started if it is not known.
     */
    fun onOrderRestored(order: RolloutOrder, nowMillis: Long) {
        val known = rollouts[order.service]
        if (known != null && known.order.hasSameGoal(order)) known.order = order
        else onOrder(order, nowMillis)
    }

    private fun oldInFlight(order: RolloutOrder): Int =
        inFlight.entries
            .filter { it.key.service == order.service && it.key.version != order.targetVersion }
            .sumOf { it.value }

    /** Stops the rollout of [service] after its order was removed. */
    fun onOrderRemoved(service: String) {
        rollouts.remove(service)
    }

    /** Applies the final result of [order] that this or another instance has reported. */
    fun onOrderEnded(order: RolloutOrder, verdict: RolloutVerdict) {
        rollouts[order.service]?.takeIf { it.order == order }?.onOrderEnded(verdict)
    }

    /** Records when newly started servers finish warming up. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long) {
        warmedUpMillis.keys.retainAll(servers.mapTo(HashSet()) { it.id })
        servers.forEach { warmedUpMillis.putIfAbsent(it.id, nowMillis + it.warmUpRemainingMillis) }
    }

    /** Returns true while two versions of [service] are compared. */
    fun isInProgress(service: String, nowMillis: Long): Boolean =
        rollouts[service]?.isInProgress(nowMillis) ?: false

    /**
     * Decides whether a request of [route] uses the target version; call it once per request.
     * [expectedEvents] is the number of events in its response; 0 if it is unary or unknown.
     */
    fun shouldUseTarget(
        service: String,
        route: String,
        instanceCount: Int,
        expectedEvents: Double = 0.0,
    ): Boolean {
        val rollout = rollouts[service] ?: return false
        val holdMillis = holdTimes.expectedMillis(route, expectedEvents) ?: 0.0
        return rollout.shouldUseTarget(route, instanceCount, holdMillis)
    }

    internal fun select(servers: List<ServerRecord>, request: DispatchRequest): List<ServerRecord> =
        rollouts[request.service]?.select(servers, request.usesTargetVersion) { it.entry }
            ?: servers

    /** Counts a request that was sent to [server]. */
    fun onRequestSent(server: ServerEntry) {
        inFlight.merge(server.serviceVersion, 1, Int::plus)
        val rollout = rollouts[server.service] ?: return
        rollout.onSent(isTarget = server.softwareVersion == rollout.order.targetVersion)
    }

    /**
     * Counts a failure because the response of [server] to a request of [route] has stalled. It is
     * counted before the request ends, since clients may wait for longer than a rollout takes.
     */
    fun onStalled(server: ServerEntry, route: String) {
        val rollout = rollouts[server.service] ?: return
        val isTarget = rollout.order.targetVersion == server.softwareVersion
        countFailure(rollout, isTarget, route)
    }

    /**
     * Records the end of a request of [route] at [server]. Pass [ServerOutcome.Inconclusive] if its
     * outcome was already counted by [onStalled].
     */
    fun onRequestEnded(
        server: ServerEntry,
        route: String,
        outcome: ServerOutcome,
        nowMillis: Long,
    ) {
        // Removes the entry when the last request ends.
        inFlight.computeIfPresent(server.serviceVersion) { _, count ->
            if (count > 1) count - 1 else null
        }
        val rollout = rollouts[server.service]
        val isTarget = rollout?.order?.targetVersion == server.softwareVersion
        if (rollout != null) recordOutcome(rollout, isTarget, server, route, outcome, nowMillis)
        if (!isTarget && outcome is ServerOutcome.Answered) {
            val millis = outcome.firstEventMillis.toLong()
            holdTimes.add(route, outcome)
            routeLatencies.add(route, millis)
            serviceLatencies.add(server.service, millis)
        }
    }

    private fun recordOutcome(
        rollout: ServiceRollout,
        isTarget: Boolean,
        server: ServerEntry,
        route: String,
        outcome: ServerOutcome,
        nowMillis: Long,
    ) {
        countUnjudged(rollout, nowMillis)
        when (outcome) {
            is ServerOutcome.Answered -> {
                val isWarm = nowMillis >= (warmedUpMillis[server.id] ?: 0)
                val answer = UnjudgedAnswer(route, isTarget, isWarm, outcome.firstEventMillis)
                if (!countAnswer(rollout, answer, nowMillis)) rollout.unjudgedAnswers.add(answer)
            }
            is ServerOutcome.Failed,
            is ServerOutcome.Stalled,
            is ServerOutcome.ConnectionLost,
            is ServerOutcome.Unresponsive -> countFailure(rollout, isTarget, route)
            is ServerOutcome.Unreachable,
            is ServerOutcome.Full,
            is ServerOutcome.Inconclusive -> Unit
        }
    }

    private fun countFailure(rollout: ServiceRollout, isTarget: Boolean, route: String) =
        rollout.count(route, counts(isTarget, VersionCounts(requests = 1, errors = 1)))

    private fun countUnjudged(rollout: ServiceRollout, nowMillis: Long) =
        rollout.unjudgedAnswers.removeIf { countAnswer(rollout, it, nowMillis) }

    // Returns false if it is not known yet how fast the old version answers. Before the target
    // version gets all traffic, answers are counted without it, so that failures can be compared.
    private fun countAnswer(
        rollout: ServiceRollout,
        answer: UnjudgedAnswer,
        nowMillis: Long,
    ): Boolean {
        val baselineMillis = baselineMillis(rollout.order.service, answer.route)
        if (baselineMillis == null && !rollout.isShiftNear(nowMillis)) return false
        val counts =
            VersionCounts(requests = 1, slow = if (isSlow(answer, baselineMillis)) 1 else 0)
        rollout.count(answer.route, counts(answer.isTarget, counts))
        return true
    }

    // Servers that are warming up are slow whatever their version.
    private fun isSlow(answer: UnjudgedAnswer, baselineMillis: Long?): Boolean =
        baselineMillis != null &&
            answer.isWarm &&
            answer.firstEventMillis > baselineMillis * SLOW_FACTOR

    private fun counts(isTarget: Boolean, counts: VersionCounts) =
        if (isTarget) RouteCounts(new = counts) else RouteCounts(old = counts)

    // A route with too few samples is compared with the latency of its whole service, for both
    // versions alike.
    private fun baselineMillis(service: String, route: String): Long? =
        routeLatencies.baselineMillis(route) ?: serviceLatencies.baselineMillis(service)

    /** Merges the rollout reports of [peer]. */
    fun onPeerReport(peer: String, reports: List<RolloutReport>, nowMillis: Long) =
        reports.forEach { report ->
            rollouts[report.service]
                ?.takeIf { it.order.revision == report.orderRevision }
                ?.onPeerReport(peer, report, nowMillis)
        }

    /** Evaluates and advances all rollouts; returns those whose stage has changed. */
    fun advance(nowMillis: Long): List<RolloutChange> =
        rollouts.values.mapNotNull { rollout ->
            val before = rollout.stage
            countUnjudged(rollout, nowMillis)
            rollout.advance(nowMillis)
            if (rollout.stage == before) null
            else
                RolloutChange(
                    rollout.order,
                    rollout.stage,
                    rollout.strongestResult?.toString(),
                    rollout.knownSent,
                )
        }

    /** Returns the status of each order for the operator. */
    fun verdicts(peerIds: Set<String>, nowMillis: Long): Map<RolloutOrder, RolloutVerdict> =
        rollouts.values.associate { it.order to it.verdict(peerIds, nowMillis) }

    /** Returns the reports for the other instances. */
    fun reports(nowMillis: Long): List<RolloutReport> = rollouts.values.map { it.report(nowMillis) }

    private companion object {
        /**
         * Servers of one pool differ in speed, so only latencies well above the 95th percentile of
         * the old version count as slow.
         */
        const val SLOW_FACTOR = 1.5
        /**
         * An instance of a large fleet sees few requests during a rollout. A rough threshold
         * suffices for a version that is several times slower.
         */
        const val MIN_SERVICE_SAMPLES = 12
    }
}

private data class ServiceVersion(val service: String, val version: String)

private val ServerEntry.serviceVersion
    get() = ServiceVersion(service, softwareVersion)

/** Latency percentile by name. */
private class LatencyTable(private val newQuantile: () -> LatencyQuantile) {
    private val quantiles = LruMap<String, LatencyQuantile>(MAX_NAMES)

    fun baselineMillis(name: String): Long? = quantiles[name]?.thresholdMillis

    fun add(name: String, latencyMillis: Long) =
        quantiles.getOrPut(name, newQuantile).add(latencyMillis)

    private companion object {
        const val MAX_NAMES = 2_048
    }
}
