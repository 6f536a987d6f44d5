package io.lavenderhinge.core.forwarding

/** What one peer has reported of its quota usage, and what is assumed since its last report. */
internal class PeerUsage {
    private var incarnation: Long? = null
    private val reported = HashMap<String, Double>()
    private val assumed = HashMap<String, Double>()
    private var returns: PeerReturns? = null

    /** Time of the last report; null before the first one. */
    var lastReportMillis: Long? = null
        private set

    /** Adds [cost] of [workspace] to what is assumed until the next report. */
    fun assume(workspace: String, cost: Double) {
        assumed.merge(workspace, cost, Double::plus)
    }

    /** Returns what [report] adds to what was reported or assumed. */
    fun onReport(report: QuotaReport, windowMillis: Long, nowMillis: Long): ReportedCost {
        if (incarnation != report.incarnation) startIncarnation(report, windowMillis, nowMillis)
        lastReportMillis = nowMillis
        val added = HashMap<String, Double>()
        report.totals.forEach { (workspace, total) ->
            val previous = reported[workspace] ?: 0.0
            reported[workspace] = maxOf(previous, total)
            added[workspace] = (total - previous).coerceAtLeast(0.0)
        }
        assumed.forEach { (workspace, cost) -> added.merge(workspace, -cost, Double::plus) }
        assumed.clear()
        val returned = returns?.onReport(report.returned, report.totals, nowMillis)
        return ReportedCost(added, returned.orEmpty())
    }

    // Most usage of a long-running peer before its first report is old and is not charged. All
    // usage of a peer that has just started is recent and is charged; otherwise instances that
    // start one after the other would each admit the full burst.
    private fun startIncarnation(report: QuotaReport, windowMillis: Long, nowMillis: Long) {
        incarnation = report.incarnation
        val isComplete = report.peerAgeMillis <= windowMillis
        returns = PeerReturns(nowMillis, isComplete)
        reported.clear()
        if (!isComplete) reported.putAll(report.totals)
    }
}

/** The cost that a peer has admitted for each workspace since it started. */
class QuotaReport(
    val incarnation: Long,
    /** Time since the peer started. */
    val peerAgeMillis: Long,
    val totals: Map<String, Double>,
    /** Part of [totals] that was given back because the requests did not run. */
    val returned: Map<String, Double> = emptyMap(),
)

/** What a report of a peer adds to the known usage of each workspace. */
internal class ReportedCost(
    val charged: Map<String, Double>,
    /** Cost that was charged before and is given back. */
    val returned: Map<String, Double>,
)

/** The quota usage of the other instances. */
internal class QuotaPeers(private val windowMillis: Long) {
    private val usages = HashMap<String, PeerUsage>()
    private var silent: List<PeerUsage> = emptyList()
    private var fleetSize = 1

    /** An equal share of a quota for one instance. */
    val equalShare: Double
        get() = 1.0 / fleetSize

    /** Fraction of the rate that is not assumed to be used by silent peers. */
    val ownFraction: Double
        get() = 1 - silent.size * equalShare

    /** Number of peers. */
    val count: Int
        get() = fleetSize - 1

    /** Number of peers whose usage has never been reported. */
    var unreportedCount = 0
        private set

    /** True if the usage of a peer has never been reported. */
    val hasUnreported: Boolean
        get() = unreportedCount > 0

    /** Time since the last report of the peer that reported longest ago; null without reports. */
    fun oldestReportMillis(nowMillis: Long): Long? =
        usages.values.mapNotNull { it.lastReportMillis }.minOrNull()?.let { nowMillis - it }

    /** Returns the cost of each workspace to charge and to give back for the report of [peer]. */
    fun onReport(peer: String, report: QuotaReport, nowMillis: Long): ReportedCost =
        usages.getOrPut(peer) { PeerUsage() }.onReport(report, windowMillis, nowMillis)

    /** Assumes that each silent peer used its share of [cost] since the last [update]. */
    fun assumeUsage(workspace: String, cost: Double) =
        silent.forEach { it.assume(workspace, cost * equalShare) }

    /** Updates the peers to [members] and returns those that are new and have not reported yet. */
    fun update(members: Set<String>, nowMillis: Long): List<PeerUsage> {
        fleetSize = members.size + 1
        usages.keys.retainAll(members)
        val added =
            members.filter { it !in usages }.map { PeerUsage().also { new -> usages[it] = new } }
        silent = usages.values.filter { isSilent(it, nowMillis) }
        unreportedCount = usages.values.count { it.lastReportMillis == null }
        return added
    }

    private fun isSilent(usage: PeerUsage, nowMillis: Long): Boolean {
        val lastReportMillis = usage.lastReportMillis ?: return true
        return nowMillis - lastReportMillis > REPORT_TIMEOUT_MILLIS
    }

    private companion object {
        /** Spans several reports, so that a single lost datagram does not count as silence. */
        const val REPORT_TIMEOUT_MILLIS = 800L
    }
}
