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
 * together stay within the quota. A peer that has not reported yet is assumed to have used an equal
 * share of the burst as well, because all instances may have started at once. Its first report
 * replaces what was assumed. Part of the tolerance above a quota is used for admission, because
 * rejecting requests within it is at the workspace's expense. The rest covers what instances admit
 * before they receive each other's reports. Not thread-safe: all calls must come from one thread.
 */
class QuotaLimiter(private val tolerance: QuotaTolerance) {
    private val buckets = HashMap<String, TokenBucket>()
    private val admittedCost = HashMap<String, Double>()
    private val peers = QuotaPeers(tolerance.windowMillis)
    private var lastTickMillis = 0L

    /** Total cost that this instance has admitted for each workspace since it started. */
    val totals: Map<String, Double>
        get() = admittedCost

    /** Charges [cost] to [workspace] and returns true if it is within its quota. */
    fun tryAdmit(workspace: ForwardWorkspace, cost: Double, nowMillis: Long): Boolean {
        val quota = workspace.quota ?: return true
        if (quota.ratePerSecond <= 0) return true
        val bucket = refill(workspace.name, quota, nowMillis)
        if (!allows(bucket, quota, cost)) return false
        bucket.take(cost)
        admittedCost.merge(workspace.name, cost, Double::plus)
        return true
    }

    // A request may take the bucket below zero, by which each instance may exceed the quota once.
    // While the usage of peers is unknown, all instances of a large fleet could do so together.
    private fun allows(bucket: TokenBucket, quota: WorkspaceQuota, cost: Double): Boolean =
        if (peers.hasUnreported) bucket.level >= minOf(cost, quota.burst) else bucket.level > 0

    /** Returns the current level of the bucket of [workspace]; negative after a burst. */
    fun level(workspace: String): Double = buckets[workspace]?.level ?: 0.0

    /** Returns the time until the bucket of [workspace] is above zero again. */
    fun retryAfterMillis(workspace: ForwardWorkspace): Long {
        val quota = workspace.quota ?: return 0
        val level = buckets[workspace.name]?.level ?: return 0
        return (-level / ownRate(quota) * MILLIS_PER_SECOND).toLong().coerceAtLeast(0)
    }

    /** Charges what [peer] has admitted since its last report. */
    fun onPeerReport(peer: String, report: QuotaReport, nowMillis: Long) =
        peers.onReport(peer, report, nowMillis).forEach { (workspace, cost) ->
            buckets[workspace]?.take(cost)
        }

    /**
     * Creates the buckets of [workspaces], so that all instances charge alike from the start, and
     * updates what is assumed of peers that do not report. Must be called a few times a second.
     */
    fun tick(members: Set<String>, workspaces: Collection<ForwardWorkspace>, nowMillis: Long) {
        val elapsedMillis = (nowMillis - lastTickMillis).coerceAtLeast(0)
        lastTickMillis = nowMillis
        workspaces.forEach { workspace ->
            val quota = workspace.quota ?: return@forEach
            refill(workspace.name, quota, nowMillis)
            peers.assumeUsage(
                workspace.name,
                effectiveRate(quota) * elapsedMillis / MILLIS_PER_SECOND,
            )
        }
        val added = peers.update(members, nowMillis)
        if (added.isEmpty()) return
        workspaces.forEach { workspace ->
            val quota = workspace.quota ?: return@forEach
            val burstShare = quota.burst * peers.equalShare
            buckets[workspace.name]?.take(added.size * burstShare)
            added.forEach { it.assume(workspace.name, burstShare) }
        }
    }

    private fun refill(name: String, quota: WorkspaceQuota, nowMillis: Long): TokenBucket {
        val bucket = buckets.getOrPut(name) { TokenBucket(quota.burst, nowMillis) }
        // Forgetting debt within the window would admit more in it than the quota allows.
        val floor = -effectiveRate(quota) * tolerance.windowMillis / MILLIS_PER_SECOND
        bucket.refill(ownRate(quota), capacity = maxOf(quota.burst, 1.0), nowMillis, floor)
        return bucket
    }

    private fun ownRate(quota: WorkspaceQuota): Double = effectiveRate(quota) * peers.ownFraction

    private fun effectiveRate(quota: WorkspaceQuota): Double =
        quota.ratePerSecond * (1 + tolerance.overageFraction * USED_TOLERANCE_FRACTION) +
            tolerance.slack * USED_TOLERANCE_FRACTION * MILLIS_PER_SECOND / tolerance.windowMillis

    private companion object {
        const val USED_TOLERANCE_FRACTION = 0.4
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
