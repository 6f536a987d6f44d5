package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import io.lavenderhinge.core.limit.MIN_LIMIT_PER_SECOND
import io.lavenderhinge.core.limit.TokenBucket
import io.lavenderhinge.core.limit.burst
import kotlin.random.Random

/** What an instance reports of the request limit of one server. */
data class RateLimitReport(
    val run: ServerRun,
    /** Requests per second that the server takes; null if it no longer states a limit. */
    val limitPerSecond: Double?,
    /** Time since a response of the server stated it, to this instance or to a peer. */
    val ageMillis: Long,
    /** Requests that the reporting instance has sent to the server since it knows the limit. */
    val sentCount: Long,
)

/** A change of the stated limit of a server, for the log. */
data class RateLimitChange(val run: ServerRun, val limitPerSecond: Double?)

/**
 * Keeps the requests of all instances to a server within the limit that the server states.
 *
 * Two token buckets guard each limited server. The shared one has the stated rate and is charged
 * with the requests of this instance and, from their reports, of its peers. Between two reports it
 * cannot hold back instances that all see the same tokens. In a large fleet, where reports are
 * older, the own bucket therefore has only a few times an equal share of the rate, and begins at a
 * random level, so that the instances do not send their first requests at once. Not thread-safe.
 * Times are milliseconds on the monotonic clock.
 */
internal class ServerRateLimits(
    private val random: Random,
    /** The limits of servers that are cold. */
    val cold: ColdServers = ColdServers(FleetMembers(), ColdTolerance()),
) {
    private class Limit(
        var perSecond: Double?,
        var statedMillis: Long,
        val shared: TokenBucket,
        val own: TokenBucket,
    ) {
        var sentCount = 0L
        val peerSentCounts = HashMap<String, Long>()
    }

    private val limits = LinkedHashMap<ServerRun, Limit>()
    private var reportOffset = 0

    /** True if no server is limited, as nearly always. */
    val isEmpty: Boolean
        get() = limits.isEmpty() && cold.isEmpty

    /** Called with each change of a stated limit, for the log. */
    var onChange: (RateLimitChange) -> Unit = {}

    /** Returns the stated limit of [run], or null if there is none. */
    fun perSecond(run: ServerRun): Double? = limits[run]?.perSecond

    /** Returns the limit of [run] by what it states or because it is cold, or null. */
    fun perSecond(run: ServerRun, nowMillis: Long): Double? =
        listOfNotNull(perSecond(run), cold.perSecond(run, nowMillis)).minOrNull()

    /** Records that a response of [run] states [perSecond], or no limit if it is null. */
    fun onStated(run: ServerRun, perSecond: Double?, nowMillis: Long) {
        val limit = limits[run]
        if (limit != null) return update(run, limit, perSecond, nowMillis)
        if (perSecond != null) add(run, perSecond, nowMillis, nowMillis)
    }

    private fun add(run: ServerRun, perSecond: Double, statedMillis: Long, nowMillis: Long): Limit {
        val shared = TokenBucket(refilledMillis = nowMillis)
        val own = TokenBucket(random.nextDouble(), nowMillis)
        val limit = Limit(perSecond, statedMillis, shared, own)
        limits[run] = limit
        onChange(RateLimitChange(run, perSecond))
        return limit
    }

    private fun update(run: ServerRun, limit: Limit, perSecond: Double?, statedMillis: Long) {
        if (statedMillis < limit.statedMillis) return
        limit.statedMillis = statedMillis
        if (limit.perSecond == perSecond) return
        limit.perSecond = perSecond
        onChange(RateLimitChange(run, perSecond))
    }

    /** Charges a request that this instance sends to [run]. */
    fun onSent(run: ServerRun, nowMillis: Long) {
        cold.onSent(run, nowMillis)
        val limit = limits[run] ?: return
        limit.sentCount++
        limit.shared.take()
        limit.own.take()
    }

    /** Returns how long this instance, one of [instanceCount], has to wait for the next request. */
    fun waitMillis(run: ServerRun, instanceCount: Int, nowMillis: Long): Double =
        maxOf(statedWaitMillis(run, instanceCount, nowMillis), cold.waitMillis(run, nowMillis))

    private fun statedWaitMillis(run: ServerRun, instanceCount: Int, nowMillis: Long): Double {
        val limit = limits[run] ?: return 0.0
        val perSecond = limit.perSecond?.coerceAtLeast(MIN_LIMIT_PER_SECOND) ?: return 0.0
        limit.shared.refill(perSecond, burst(perSecond), nowMillis)
        val sharedWaitMillis = limit.shared.waitMillis(perSecond)
        val ownShare = ownShares(instanceCount) / instanceCount
        if (ownShare >= 1) return sharedWaitMillis
        limit.own.refill(perSecond * ownShare, OWN_BURST, nowMillis)
        return maxOf(sharedWaitMillis, limit.own.waitMillis(perSecond * ownShare))
    }

    // The time between two reports grows with the square of the number of instances.
    private fun ownShares(instanceCount: Int): Double {
        val ratio = FULL_SHARE_INSTANCES / instanceCount
        return maxOf(MIN_OWN_SHARES, FULL_SHARE_INSTANCES * ratio * ratio)
    }

    /** Returns the reports for the peers; in turn, if there are more than [MAX_REPORTED]. */
    fun reports(nowMillis: Long): List<RateLimitReport> {
        limits.values.removeIf {
            it.perSecond == null && nowMillis - it.statedMillis > LIFTED_REPORT_MILLIS
        }
        val all = limits.entries.toList()
        if (all.size <= MAX_REPORTED) return all.map { report(it.key, it.value, nowMillis) }
        reportOffset = (reportOffset + MAX_REPORTED) % all.size
        return (all.drop(reportOffset) + all).take(MAX_REPORTED).map {
            report(it.key, it.value, nowMillis)
        }
    }

    private fun report(run: ServerRun, limit: Limit, nowMillis: Long) =
        RateLimitReport(run, limit.perSecond, nowMillis - limit.statedMillis, limit.sentCount)

    /** Applies the [reports] of [peer]. */
    fun onPeerReport(peer: String, reports: List<RateLimitReport>, nowMillis: Long) =
        reports.forEach { report ->
            val statedMillis = nowMillis - report.ageMillis
            val known = limits[report.run]
            if (known != null) update(report.run, known, report.limitPerSecond, statedMillis)
            val limit =
                known
                    ?: report.limitPerSecond?.let { add(report.run, it, statedMillis, nowMillis) }
                    ?: return@forEach
            // Earlier requests of a peer are not charged, because it is not known when it sent
            // them.
            val previous = limit.peerSentCounts.put(peer, report.sentCount) ?: report.sentCount
            // A restarted peer counts from zero.
            val added = report.sentCount - previous
            limit.shared.take((if (added >= 0) added else report.sentCount).toDouble())
        }

    /** Forgets the servers that are not in [runs]. */
    fun retain(runs: Set<ServerRun>) {
        limits.keys.retainAll(runs)
    }

    private companion object {
        /** Connections are spread unevenly over the instances. */
        const val MIN_OWN_SHARES = 2.0
        /**
         * Up to this number of instances, reports are recent enough for the shared bucket alone.
         */
        const val FULL_SHARE_INSTANCES = 27.0
        /** Bounds the size of a report. */
        const val MAX_REPORTED = 64
        /** By then, all peers have heard that a limit was lifted. */
        const val LIFTED_REPORT_MILLIS = 10_000L
        const val OWN_BURST = 1.0
    }
}
