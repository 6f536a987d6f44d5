package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.limit.TokenBucket

/** Usage above the quotas that the deployment tolerates, summed over all instances. */
data class QuotaTolerance(
    val windowMillis: Long,
    /** Tolerated excess as a fraction of the quota. */
    val overageFraction: Double,
    /** Additional tolerated cost per window. */
    val slack: Double,
)

/**
 * Enforces workspace quotas across all instances.
 *
 * Each instance keeps a token bucket with the full rate for each workspace. It charges its own
 * admissions immediately and those of its peers when their reports arrive. A peer that stops
 * reporting is assumed to use an equal share of the rate, so that the partitions of a split fleet
 * together stay within the quota. Part of the tolerance above a quota is used for admission,
 * because rejecting requests within it is at the workspace's expense. The rest covers what
 * instances admit before they receive each other's reports. Not thread-safe: all calls must come
 * from one thread.
 */
class QuotaLimiter(private val tolerance: QuotaTolerance) {
    private class PeerUsage(var incarnation: Long) {
        val reported = HashMap<String, Double>()
        val assumed = HashMap<String, Double>()
        var lastReportMillis = 0L
    }

    private val buckets = HashMap<String, TokenBucket>()
    private val admittedCost = HashMap<String, Double>()
    private val peers = HashMap<String, PeerUsage>()
    private val firstListedMillis = HashMap<String, Long>()
    private var lastTickMillis = 0L

    /** Total cost that this instance has admitted for each workspace since it started. */
    val totals: Map<String, Double>
        get() = admittedCost

    /** Charges [cost] to [workspace] and returns true if it is within its quota. */
    fun tryAdmit(workspace: ForwardWorkspace, cost: Double, nowMillis: Long): Boolean {
        val quota = workspace.quota ?: return true
        if (quota.ratePerSecond <= 0) return true
        val bucket = refill(workspace.name, quota, nowMillis)
        if (bucket.level <= 0) return false
        bucket.take(cost)
        admittedCost.merge(workspace.name, cost, Double::plus)
        return true
    }

    /** Returns the current level of the bucket of [workspace]; negative after a burst. */
    fun level(workspace: String): Double = buckets[workspace]?.level ?: 0.0

    /** Returns the time until the bucket of [workspace] is above zero again. */
    fun retryAfterMillis(workspace: ForwardWorkspace): Long {
        val quota = workspace.quota ?: return 0
        val level = buckets[workspace.name]?.level ?: return 0
        return (-level / effectiveRate(quota) * MILLIS_PER_SECOND).toLong().coerceAtLeast(0)
    }

    /** Charges the increase in the [totals] of a peer that has been running for [peerAgeMillis]. */
    fun onPeerReport(
        peer: String,
        incarnation: Long,
        peerAgeMillis: Long,
        totals: Map<String, Double>,
        nowMillis: Long,
    ) {
        val usage =
            peers[peer]?.takeIf { it.incarnation == incarnation }
                ?: registerPeer(peer, incarnation, peerAgeMillis, totals)
        usage.lastReportMillis = nowMillis
        totals.forEach { (workspace, total) ->
            val previous = usage.reported.put(workspace, total) ?: 0.0
            val assumed = usage.assumed.remove(workspace) ?: 0.0
            buckets[workspace]?.take((total - previous).coerceAtLeast(0.0) - assumed)
        }
    }

    // Most usage of a long-running peer before its first report is old and is not charged. All
    // usage of a peer that has just started is recent and is charged; otherwise instances that
    // start one after the other would each admit the full burst.
    private fun registerPeer(
        peer: String,
        incarnation: Long,
        peerAgeMillis: Long,
        totals: Map<String, Double>,
    ): PeerUsage {
        val usage = PeerUsage(incarnation)
        if (peerAgeMillis > tolerance.windowMillis) usage.reported.putAll(totals)
        peers[peer] = usage
        return usage
    }

    /**
     * Creates the buckets of [workspaces], so that all instances charge alike from the start, and
     * charges an equal share of the rate for each silent peer. Must be called a few times a second.
     */
    fun tick(members: Set<String>, workspaces: Collection<ForwardWorkspace>, nowMillis: Long) {
        workspaces.forEach { workspace ->
            workspace.quota?.let { refill(workspace.name, it, nowMillis) }
        }
        peers.keys.retainAll(members)
        firstListedMillis.keys.retainAll(members)
        members.forEach { firstListedMillis.putIfAbsent(it, nowMillis) }
        val elapsedMillis = (nowMillis - lastTickMillis).coerceIn(0, MAX_TICK_MILLIS)
        lastTickMillis = nowMillis
        val silent = members.filter { isSilent(it, nowMillis) }
        if (silent.isEmpty()) return
        val share = elapsedMillis / MILLIS_PER_SECOND / (members.size + 1)
        workspaces.forEach { workspace ->
            val quota = workspace.quota ?: return@forEach
            val bucket = buckets[workspace.name] ?: return@forEach
            val cost = effectiveRate(quota) * share
            silent.forEach { peer ->
                bucket.take(cost)
                peers[peer]?.assumed?.merge(workspace.name, cost, Double::plus)
            }
        }
    }

    private fun isSilent(peer: String, nowMillis: Long): Boolean {
        // A newly listed peer gets the same time to send its first report as any other peer.
        val lastSeenMillis = peers[peer]?.lastReportMillis ?: firstListedMillis[peer] ?: nowMillis
        return nowMillis - lastSeenMillis > REPORT_TIMEOUT_MILLIS
    }

    private fun refill(name: String, quota: WorkspaceQuota, nowMillis: Long): TokenBucket {
        val bucket = buckets.getOrPut(name) { TokenBucket(quota.burst, nowMillis) }
        val perSecond = effectiveRate(quota)
        // Forgetting debt within the window would admit more in it than the quota allows.
        val floor = -perSecond * tolerance.windowMillis / MILLIS_PER_SECOND
        bucket.refill(perSecond, capacity = maxOf(quota.burst, 1.0), nowMillis, floor)
        return bucket
    }

    private fun effectiveRate(quota: WorkspaceQuota): Double =
        quota.ratePerSecond * (1 + tolerance.overageFraction * USED_TOLERANCE_FRACTION) +
            tolerance.slack * USED_TOLERANCE_FRACTION * MILLIS_PER_SECOND / tolerance.windowMillis

    private companion object {
        const val USED_TOLERANCE_FRACTION = 0.4
        const val MILLIS_PER_SECOND = 1_000.0
        /** Spans several reports, so that a single lost datagram does not count as silence. */
        const val REPORT_TIMEOUT_MILLIS = 800L
        const val MAX_TICK_MILLIS = 1_000L
    }
}
