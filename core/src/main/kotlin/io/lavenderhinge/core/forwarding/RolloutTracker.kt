package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.LatencyQuantile
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.VersionCounts

/** The orders in force, and what the instance has seen of old and new versions. */
class RolloutTracker {
    private val rollouts = HashMap<String, ServiceRollout>()
    private val inFlight = HashMap<ServiceVersion, Int>()
    private val warmedUpMillis = HashMap<String, Long>()
    private val serviceLatencies = LatencyTable()
    private val routeLatencies = LatencyTable()

    /** Takes over an order; one that is known already changes nothing. */
    fun onOrder(order: RolloutOrder, nowMillis: Long) {
        val known = rollouts[order.service]
        if (known != null && known.order.revision >= order.revision) return
        rollouts[order.service] = ServiceRollout(order, nowMillis) { oldInFlight(order) }
    }

    private fun oldInFlight(order: RolloutOrder): Int =
        inFlight.entries
            .filter { it.key.service == order.service && it.key.version != order.targetVersion }
            .sumOf { it.value }

    /** The order for [service] was taken back. */
    fun onOrderRemoved(service: String) {
        rollouts.remove(service)
    }

    /** Takes over how [order] ended, as this instance or another one has told the operator. */
    fun onOrderEnded(order: RolloutOrder, verdict: RolloutVerdict) {
        rollouts[order.service]?.takeIf { it.order == order }?.onOrderEnded(verdict)
    }

    /** Notes when servers that have just started reach their full speed. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long) {
        warmedUpMillis.keys.retainAll(servers.mapTo(HashSet()) { it.id })
        servers.forEach { warmedUpMillis.putIfAbsent(it.id, nowMillis + it.warmUpRemainingMillis) }
    }

    /** Decides once for a request of [route] whether it tries a version under rollout. */
    fun shouldUseTarget(service: String, route: String, instanceCount: Int): Boolean =
        rollouts[service]?.shouldUseTarget(route, instanceCount) ?: false

    internal fun select(servers: List<ServerRecord>, request: DispatchRequest): List<ServerRecord> =
        rollouts[request.service]?.select(servers, request.usesTargetVersion) { it.entry }
            ?: servers

    /** A request was sent to [server]. */
    fun onRequestSent(server: ServerEntry) {
        inFlight.merge(server.serviceVersion, 1, Int::plus)
    }

    /** A request of [route] at [server] has ended. */
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
        val isWarm = nowMillis >= (warmedUpMillis[server.id] ?: 0)
        val baselineMillis = if (isWarm) baselineMillis(server.service, route) else null
        val counts = counts(outcome, baselineMillis) ?: return
        rollout.count(route, if (isTarget) RouteCounts(new = counts) else RouteCounts(old = counts))
    }

    // A thin route is held against its whole service, for both versions alike.
    private fun baselineMillis(service: String, route: String): Long? =
        routeLatencies.baselineMillis(route) ?: serviceLatencies.baselineMillis(service)

    private fun counts(outcome: ServerOutcome, baselineMillis: Long?): VersionCounts? =
        when (outcome) {
            is ServerOutcome.Answered -> {
                val isSlow =
                    baselineMillis != null &&
                        outcome.firstEventMillis > baselineMillis * SLOW_FACTOR
                VersionCounts(requests = 1, slow = if (isSlow) 1 else 0)
            }
            is ServerOutcome.Failed -> VersionCounts(requests = 1, errors = 1)
            is ServerOutcome.Unreachable,
            is ServerOutcome.Full,
            is ServerOutcome.Inconclusive -> null
        }

    /** Takes over what [peer] tells. */
    fun onPeerReport(peer: String, reports: List<RolloutReport>, nowMillis: Long) =
        reports.forEach { report ->
            rollouts[report.service]
                ?.takeIf { it.order.revision == report.orderRevision }
                ?.onPeerReport(peer, report, nowMillis)
        }

    /** Judges and moves on; returns the services whose stage has changed. */
    fun advance(nowMillis: Long): List<RolloutChange> =
        rollouts.values.mapNotNull { rollout ->
            val before = rollout.stage
            rollout.advance(nowMillis)
            if (rollout.stage == before) null
            else RolloutChange(rollout.order, rollout.stage, rollout.strongestResult?.toString())
        }

    /** What to tell the operator of each order. */
    fun verdicts(peerIds: Set<String>, nowMillis: Long): Map<RolloutOrder, RolloutVerdict> =
        rollouts.values.associate { it.order to it.verdict(peerIds, nowMillis) }

    /** What to tell the other instances. */
    fun reports(nowMillis: Long): List<RolloutReport> = rollouts.values.map { it.report(nowMillis) }

    private companion object {
        /**
         * Servers of one pool differ in speed, so only answers well beyond the old version's 95th
         * percentile count as slow.
         */
        const val SLOW_FACTOR = 1.5
    }
}

private data class ServiceVersion(val service: String, val version: String)

private val ServerEntry.serviceVersion
    get() = ServiceVersion(service, softwareVersion)

/** The usual latency by name; the names seen first are forgotten when there are too many. */
private class LatencyTable {
    private val quantiles =
        object : LinkedHashMap<String, LatencyQuantile>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, LatencyQuantile>) =
                size > MAX_NAMES
        }

    fun baselineMillis(name: String): Long? = quantiles[name]?.thresholdMillis

    fun add(name: String, latencyMillis: Long) =
        quantiles.getOrPut(name, ::LatencyQuantile).add(latencyMillis)

    private companion object {
        const val MAX_NAMES = 2_048
    }
}

/** A service went on to [stage]; [evidence] is the strongest test against the version, if any. */
data class RolloutChange(val order: RolloutOrder, val stage: RolloutStage, val evidence: String?)
