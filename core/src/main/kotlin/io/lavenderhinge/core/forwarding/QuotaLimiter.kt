package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/** Usage above the quotas that the deployment tolerates, summed over all instances. */
data class QuotaTolerance(
    val windowMillis: Long,
    /** Tolerated excess as a fraction of the quota. */
    val overageFraction: Double,
    /** Additional tolerated cost per window. */
    val slack: Double,
)

/** Whether a request is within the quota of its workspace. */
enum class QuotaDecision {
    /** It is, and it has been charged. */
    ADMITTED,
    OVER_QUOTA,
    /** Not known yet; the caller should ask again soon, or refuse it if it cannot wait. */
    UNDECIDED,
}

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
 * before they receive each other's reports.
 *
 * During the [start] of an instance little is admitted until it knows its peers, since others may
 * have started with it. Requests that have waited are admitted from a slice for this instance, as
 * all instances decide theirs at once. Not thread-safe: all calls must come from one thread.
 */
class QuotaLimiter(
    private val tolerance: QuotaTolerance,
    private val start: QuotaStart = QuotaStart(),
    random: Random = Random.Default,
) {
    private val buckets = HashMap<String, QuotaBucket>()
    private val admittedCost = HashMap<String, Double>()
    private val returnedCost = HashMap<String, Double>()
    private val peers = QuotaPeers(tolerance.windowMillis)
    private val slices = QuotaSlices(random)
    private var lastTickMillis = 0L

    /** Total cost that this instance has admitted for each workspace since it started. */
    val totals: Map<String, Double>
        get() = admittedCost

    /** Part of [totals] that was given back because the requests did not run. */
    val returned: Map<String, Double>
        get() = returnedCost

    /**
     * Decides whether [cost] is within the quota of [workspace] and charges it if it is. [isHeld]
     * is true if the request has waited for a configuration or for an earlier decision.
     */
    fun decide(
        workspace: ForwardWorkspace,
        cost: Double,
        nowMillis: Long,
        isHeld: Boolean,
    ): QuotaDecision {
        val quota = workspace.quota?.takeIf { it.ratePerSecond > 0 }
        if (quota == null) return QuotaDecision.ADMITTED
        if (!isHeld && !start.isOngoing) {
            val isAdmitted = tryAdmit(workspace, cost, nowMillis)
            return if (isAdmitted) QuotaDecision.ADMITTED else QuotaDecision.OVER_QUOTA
        }
        val bucket = refill(workspace.name, quota, nowMillis)
        if (start.isFleetKnown && (bucket.level <= 0 || !isInWindow(bucket, quota))) {
            // Reports may replace what is assumed of peers by less.
            val mayRise = start.isOngoing && peers.hasUnreported
            return if (mayRise) QuotaDecision.UNDECIDED else QuotaDecision.OVER_QUOTA
        }
        val isInSlice =
            if (start.isFleetKnown) slices.tryTakeOrSpend(workspace.name, cost)
            else slices.tryTake(workspace.name, cost)
        if (!isInSlice) return QuotaDecision.UNDECIDED
        charge(bucket, workspace.name, cost)
        return QuotaDecision.ADMITTED
    }

    /** Charges [cost] to [workspace] and returns true if it is within its quota. */
    fun tryAdmit(workspace: ForwardWorkspace, cost: Double, nowMillis: Long): Boolean {
        val quota = workspace.quota ?: return true
        if (quota.ratePerSecond <= 0) return true
        val bucket = refill(workspace.name, quota, nowMillis)
        if (!allows(bucket, quota, cost)) return false
        charge(bucket, workspace.name, cost)
        return true
    }

    /**
     * Gives back what a request was charged that has ended and that no server may have run. Returns
     * false if nothing is given back, since the charge was returned before or is too old.
     */
    fun giveBack(charge: QuotaCharge, nowMillis: Long): Boolean {
        if (!charge.tryReturn()) return false
        if (nowMillis - charge.chargedMillis > QuotaBucket.MAX_RETURN_MILLIS) return false
        returnedCost.merge(charge.workspace, charge.cost, Double::plus)
        buckets[charge.workspace]?.giveBack(charge.cost, charge.chargedMillis)
        return true
    }

    private fun charge(bucket: QuotaBucket, workspace: String, cost: Double) {
        bucket.take(cost)
        admittedCost.merge(workspace, cost, Double::plus)
    }

    // A request may take the bucket below zero, by which each instance may exceed the quota once.
    // While the usage of peers is unknown, all instances of a large fleet could do so together.
    private fun allows(bucket: QuotaBucket, quota: WorkspaceQuota, cost: Double): Boolean =
        isInWindow(bucket, quota) &&
            if (peers.hasUnreported) bucket.level >= minOf(cost, quota.burst) else bucket.level > 0

    // Without returns, the bucket alone ensures this.
    private fun isInWindow(bucket: QuotaBucket, quota: WorkspaceQuota): Boolean =
        !bucket.hasReturns || bucket.windowCost < windowCost(quota) + quota.burst

    private fun windowCost(quota: WorkspaceQuota): Double =
        effectiveRate(quota) * tolerance.windowMillis / MILLIS_PER_SECOND

    /** Returns the current level of the bucket of [workspace]; negative after a burst. */
    fun level(workspace: String): Double = buckets[workspace]?.level ?: 0.0

    /** Returns the time until the bucket of [workspace] is above zero again. */
    fun retryAfterMillis(workspace: ForwardWorkspace): Long {
        val quota = workspace.quota ?: return 0
        val level = buckets[workspace.name]?.level ?: return 0
        return (-level / ownRate(quota) * MILLIS_PER_SECOND).toLong().coerceAtLeast(0)
    }

    /** Charges what [peer] has admitted since its last report. */
    fun onPeerReport(peer: String, report: QuotaReport, nowMillis: Long) {
        start.onPeerReport(report)
        val reported = peers.onReport(peer, report, nowMillis)
        reported.charged.forEach { (workspace, cost) -> buckets[workspace]?.take(cost) }
        reported.returned.forEach { (workspace, cost) ->
            buckets[workspace]?.giveBack(cost, takenMillis = null)
        }
    }

    /** Called when a list of instances that contains this run of the instance has been read. */
    fun onListed() = start.onListed()

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
        if (workspaces.any { it.quota != null }) start.update(peers, nowMillis)
        workspaces.forEach { workspace ->
            val quota = workspace.quota ?: return@forEach
            val burstShare = quota.burst * peers.equalShare
            buckets[workspace.name]?.take(added.size * burstShare)
            added.forEach { it.assume(workspace.name, burstShare) }
            if (start.isFleetKnown) slices.renew(workspace.name, slice(workspace.name, quota))
            else slices.grantOnce(workspace.name, quota.burst / UNKNOWN_FLEET_SIZE)
        }
    }

    // The level is shared with the peers that have reported; the others' parts are taken from it.
    private fun slice(name: String, quota: WorkspaceQuota): Double {
        val sharing = peers.count + 1 - peers.unreportedCount
        val reserve = unusedTolerance(quota) * SLICED_TOLERANCE_FRACTION * peers.count
        return level(name).coerceAtLeast(0.0) / sharing +
            reserve * peers.equalShare * peers.equalShare
    }

    private fun unusedTolerance(quota: WorkspaceQuota): Double {
        val windowCost = quota.ratePerSecond * tolerance.windowMillis / MILLIS_PER_SECOND
        val tolerated = tolerance.overageFraction * (windowCost + quota.burst) + tolerance.slack
        return tolerated * (1 - USED_TOLERANCE_FRACTION)
    }

    private fun refill(name: String, quota: WorkspaceQuota, nowMillis: Long): QuotaBucket {
        val bucket =
            buckets.getOrPut(name) { QuotaBucket(quota.burst, nowMillis, tolerance.windowMillis) }
        // Forgetting debt within the window would admit more in it than the quota allows.
        val floor = -windowCost(quota)
        val capacity = maxOf(quota.burst, 1.0)
        bucket.refill(ownRate(quota), capacity, nowMillis, floor)
        return bucket
    }

    private fun ownRate(quota: WorkspaceQuota): Double = effectiveRate(quota) * peers.ownFraction

    private fun effectiveRate(quota: WorkspaceQuota): Double =
        quota.ratePerSecond * (1 + tolerance.overageFraction * USED_TOLERANCE_FRACTION) +
            tolerance.slack * USED_TOLERANCE_FRACTION * MILLIS_PER_SECOND / tolerance.windowMillis

    private companion object {
        const val USED_TOLERANCE_FRACTION = 0.4
        /**
         * Part of the unused tolerance that slices may use, because instances without waiting
         * requests do not use theirs. The rest covers what is admitted before reports arrive.
         */
        const val SLICED_TOLERANCE_FRACTION = 0.5
        /**
         * Assumed while the fleet is unknown. The burst of most quotas serves small requests even
         * so, which have too little time to wait until it is known.
         */
        const val UNKNOWN_FLEET_SIZE = 100
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
