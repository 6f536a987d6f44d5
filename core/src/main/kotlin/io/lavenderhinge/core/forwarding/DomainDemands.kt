package io.lavenderhinge.core.forwarding

/** The requests for one service that clients of one failure domain have sent. */
internal class DomainDemand {
    /** Requests that run on servers of any failure domain. */
    var running = 0
    /** Those of them that run on servers of the same failure domain. */
    var runningAtHome = 0
    var waiting = 0
    private var statements = 0
    private var waitMillisSum = 0.0
    private var shareFractionSum = 0.0

    /** Mean wait for a slot that the instances of the domain state. */
    val waitMillis: Double
        get() = if (statements == 0) 0.0 else waitMillisSum / statements

    /** Mean share that leaves, as the instances of the domain state it; null if none does. */
    val shareFraction: Double?
        get() = if (statements == 0) null else shareFractionSum / statements

    fun add(load: DomainLoadReport) {
        statements++
        waitMillisSum += load.waitMillis.coerceAtLeast(0.0)
        shareFractionSum += load.shareFraction.coerceIn(0.0, 1.0)
    }
}

/**
 * The demand in each failure domain, by the load reports of the instances there.
 *
 * Requests count where their clients are and not where they run: what a domain sends away is then
 * still seen as its demand, and the share that it sends does not feed back into itself. A report
 * expires after [REPORT_TTL_MILLIS]; a domain without reports is unknown.
 */
internal class DomainDemands {
    private class PeerDemand(
        val failureDomain: String,
        val receivedMillis: Long,
        val running: Map<String, Int>,
        val runningAtHome: Map<String, Int>,
        val waiting: Map<String, Int>,
        val loads: Map<String, DomainLoadReport>,
    )

    private val peers = HashMap<String, PeerDemand>()
    private var servers: Map<String, ServerEntry> = emptyMap()

    /** Replaces the set of known servers. */
    fun onServers(servers: Collection<ServerEntry>) {
        this.servers = servers.associateBy { it.id }
    }

    /** Replaces what [peer] has reported. */
    fun onPeerReport(peer: String, report: LoadReport, nowMillis: Long) {
        // Instances of earlier releases do not state their failure domain.
        if (report.failureDomain.isEmpty()) return
        val running = HashMap<String, Int>()
        val runningAtHome = HashMap<String, Int>()
        report.servers.forEach { (id, use) ->
            val server = servers[id] ?: return@forEach
            running.merge(server.service, use.inFlight, Int::plus)
            if (server.failureDomain == report.failureDomain) {
                runningAtHome.merge(server.service, use.inFlight, Int::plus)
            }
        }
        val waiting = HashMap<String, Int>()
        report.waiting.forEach { (key, queue) ->
            waiting.merge(key.service, queue.count, Int::plus)
        }
        peers[peer] =
            PeerDemand(
                report.failureDomain,
                nowMillis,
                running,
                runningAtHome,
                waiting,
                report.domainLoads.associateBy { it.service },
            )
    }

    /**
     * Returns the demand of peers by failure domain for [service], whose requests take
     * [holdMillis]. A report of short requests that its sender cannot have replaced yet counts
     * nothing, as in [PeerLoads].
     */
    fun of(service: String, holdMillis: Double, nowMillis: Long): Map<String, DomainDemand> {
        peers.values.removeIf { nowMillis - it.receivedMillis > REPORT_TTL_MILLIS }
        val pauseMillis = ReportPacing.pauseMillis(peers.size) + DELIVERY_MILLIS
        val demands = HashMap<String, DomainDemand>()
        peers.values.forEach { peer ->
            val demand = demands.getOrPut(peer.failureDomain, ::DomainDemand)
            peer.loads[service]?.let(demand::add)
            val ageMillis = nowMillis - peer.receivedMillis
            if (ageMillis > holdMillis && ageMillis <= pauseMillis) return@forEach
            demand.running += peer.running[service] ?: 0
            demand.runningAtHome += peer.runningAtHome[service] ?: 0
            demand.waiting += peer.waiting[service] ?: 0
        }
        return demands
    }

    private companion object {
        /** Time for a report to be sent and to arrive. */
        const val DELIVERY_MILLIS = 20L
        /** Spans several reports, of which single ones may be lost. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
