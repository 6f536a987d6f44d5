package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.CombinedEvidence
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.TestResult
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionCounts
import kotlin.math.ceil
import kotlin.math.ln

/**
 * The rollout of one service as run by one instance.
 *
 * The version may turn out to be faulty at any time, so the requests that it gets stay within the
 * limit of the [ExposureAccount]. It gets a sample of the requests until the account bears all that
 * are expected before the deadline, which leaves a small part of the duration for the judgement
 * under full load and for the requests in flight at the old version. Requests that would run beyond
 * that time move before the others. The counts of all instances decide whether the version is
 * withdrawn. Not thread-safe: all calls must come from one thread.
 */
internal class ServiceRollout(
    order: RolloutOrder,
    nowMillis: Long,
    limit: ExposureLimit = ExposureLimit(),
    /** Requests in flight at servers of other versions, including those sent before the order. */
    private val oldInFlight: () -> Int,
) {
    private class PeerReport(val report: RolloutReport, val receivedMillis: Long)

    /** The order that is carried out; only its revision may change. */
    var order = order
        set(value) {
            require(value.hasSameGoal(field)) { "start a new rollout for another order" }
            field = value
        }

    private var startedMillis = nowMillis
    private val combinedEvidence =
        CombinedEvidence(TestWindow(startedMillis, startedMillis + order.durationMillis))
    private val pendingCounts = HashMap<String, RouteCounts>()
    private val baselines = HashMap<String, VersionCounts>()
    private val totalCounts = HashMap<String, RouteCounts>()
    private val peers = HashMap<String, PeerReport>()
    private val sampling = TrialSampling()
    private val account = ExposureAccount(limit)
    private var firstShiftedMillis: Long? = null
    private var isCompleted = false
    /** Requests that are expected to run for this time use the target version; null if none do. */
    private var longRequestMillis: Double? = null
    /** True if requests went back to the old version after the shift. */
    private var hasHeld = false

    /** Answers that this instance cannot judge yet. */
    val unjudgedAnswers = UnjudgedAnswers()

    var stage = RolloutStage.TRIAL
        private set

    /** The requests that all instances are known to have sent since the order. */
    val knownSent: SentRequests
        get() = account.knownSent

    /** The strongest test result against the version, if any. */
    val strongestResult: TestResult?
        get() = combinedEvidence.strongest

    /**
     * Decides whether a request of [route] that is expected to run for [holdMillis] uses the target
     * version; call it once per request.
     */
    fun shouldUseTarget(route: String, instanceCount: Int, holdMillis: Double = 0.0): Boolean {
        account.instanceCount = instanceCount
        val isLong = longRequestMillis?.let { holdMillis >= it } ?: false
        val usesTarget =
            when (stage) {
                RolloutStage.TRIAL -> isLong || sampling.needs(route, instanceCount)
                RolloutStage.SHIFTED -> true
                RolloutStage.WITHDRAWN -> false
            }
        sampling.add(route, usesTarget)
        return usesTarget
    }

    /** Returns those of [servers] to which a request may be sent. */
    fun <T> select(servers: List<T>, usesTarget: Boolean, entryOf: (T) -> ServerEntry): List<T> {
        val (target, old) = servers.partition { entryOf(it).softwareVersion == order.targetVersion }
        return when (stage) {
            RolloutStage.WITHDRAWN -> old
            RolloutStage.SHIFTED -> target.ifEmpty { old }
            RolloutStage.TRIAL ->
                if (usesTarget) canaryServers(target, entryOf).ifEmpty { old } else old
        }
    }

    // The sample is sent to few servers, so that each gets the load it will have after the shift.
    private fun <T> canaryServers(target: List<T>, entryOf: (T) -> ServerEntry): List<T> =
        if (longRequestMillis != null) target
        else
            target.sortedBy { entryOf(it).id }.take(ceil(target.size * stage.shareFraction).toInt())

    /** Counts a request that was sent to the target version or to another one. */
    fun onSent(isTarget: Boolean) = account.onSent(isTarget)

    /** Adds the outcomes of requests of [route]. */
    fun count(route: String, counts: RouteCounts) {
        totalCounts.merge(route, counts, RouteCounts::plus)
        onCounted(route, counts)
    }

    /** Merges the report of [peer] on this order. */
    fun onPeerReport(peer: String, report: RolloutReport, nowMillis: Long) {
        val reported =
            peers.put(peer, PeerReport(report, nowMillis))?.report?.countsByRoute.orEmpty()
        report.countsByRoute.forEach { (route, counts) ->
            val previous = reported[route] ?: RouteCounts()
            // A restarted peer counts from zero.
            val added = if (counts.isAtLeast(previous)) counts - previous else counts
            onCounted(route, added)
        }
        account.onPeerReport(peer, report.sent, nowMillis)
        startedMillis = minOf(startedMillis, nowMillis - report.elapsedMillis)
        if (report.stage == RolloutStage.WITHDRAWN) stage = RolloutStage.WITHDRAWN
    }

    private fun onCounted(route: String, counts: RouteCounts) {
        sampling.onCounted(route, counts)
        pendingCounts.merge(route, counts, RouteCounts::plus)
    }

    /** Applies the final result of the order, which may predate the start of this instance. */
    fun onOrderEnded(verdict: RolloutVerdict) {
        when (verdict) {
            RolloutVerdict.IN_PROGRESS -> Unit
            RolloutVerdict.COMPLETED -> {
                isCompleted = true
                stage = RolloutStage.SHIFTED
            }
            RolloutVerdict.ROLLED_BACK -> stage = RolloutStage.WITHDRAWN
        }
    }

    /** Evaluates the counts since the last call and enters the next stage when it is due. */
    fun advance(nowMillis: Long) {
        evaluate(nowMillis)
        if (stage == RolloutStage.WITHDRAWN) return
        if (combinedEvidence.logEvidence > WITHDRAWAL_LOG_EVIDENCE) {
            stage = RolloutStage.WITHDRAWN
            return
        }
        account.advance(nowMillis)
        val suspectedRoutes = suspectedRoutes()
        sampling.advance(elapsedFraction(nowMillis), suspectedRoutes)
        longRequestMillis = if (suspectedRoutes.isEmpty()) longRequestMillis(nowMillis) else null
        val due = dueStage(nowMillis)
        if (due < stage) hasHeld = true
        stage = due
        if (stage != RolloutStage.SHIFTED) firstShiftedMillis = null
        else if (firstShiftedMillis == null) firstShiftedMillis = nowMillis
    }

    private fun suspectedRoutes(): Set<String> =
        combinedEvidence.routes.filterTo(HashSet()) {
            (combinedEvidence.logEvidenceOf(it) ?: 0.0) > SUSPECT_LOG_EVIDENCE
        }

    // The account keeps what it needs to move all requests a little later.
    private fun longRequestMillis(nowMillis: Long): Double? {
        if (elapsedFraction(nowMillis) < MIN_TRIAL_FRACTION) return null
        val remainingMillis = remainingMillis(nowMillis)
        val reservedMillis = remainingMillis.coerceIn(0, MIN_FULL_LOAD_MILLIS)
        val isAffordable = account.allowsAll(reservedMillis, nowMillis - startedMillis, nowMillis)
        return if (isAffordable) (remainingMillis - completionMillis) / HOLD_SAFETY else null
    }

    private fun dueStage(nowMillis: Long): RolloutStage {
        val remainingMillis = remainingMillis(nowMillis)
        val isAllDue = isCompleted || remainingMillis <= 0
        return when {
            isAllDue -> RolloutStage.SHIFTED
            elapsedFraction(nowMillis) < MIN_TRIAL_FRACTION -> RolloutStage.TRIAL
            stage == RolloutStage.SHIFTED ->
                if (mustHold(remainingMillis, nowMillis)) RolloutStage.TRIAL else stage
            account.isOverdrawn(remainingMillis, nowMillis) -> RolloutStage.TRIAL
            account.allowsAll(remainingMillis, nowMillis - startedMillis, nowMillis) ->
                RolloutStage.SHIFTED
            !hasHeld && hasShiftedPeer(nowMillis) -> RolloutStage.SHIFTED
            else -> RolloutStage.TRIAL
        }
    }

    // A burst may use up the account after the shift. Once the rollout may be complete, the servers
    // of the old version may have stopped.
    private fun mustHold(remainingMillis: Long, nowMillis: Long): Boolean =
        remainingMillis > completionMillis + HOLD_MARGIN_MILLIS &&
            account.isOverdrawn(remainingMillis, nowMillis)

    // Requests come unevenly, so that instances would otherwise shift at different times.
    private fun hasShiftedPeer(nowMillis: Long): Boolean =
        peers.values.any {
            it.report.stage == RolloutStage.SHIFTED &&
                nowMillis - it.receivedMillis < MAX_REPORT_AGE_MILLIS
        }

    /** Returns true while the versions are compared. */
    fun isInProgress(nowMillis: Long): Boolean =
        stage != RolloutStage.WITHDRAWN && elapsedFraction(nowMillis) < 1

    /** Returns true if the target version will soon get all traffic. */
    fun isShiftNear(nowMillis: Long): Boolean = elapsedFraction(nowMillis) >= LAST_CHECK_FRACTION

    private fun elapsedFraction(nowMillis: Long): Double =
        (nowMillis - startedMillis).toDouble() / order.durationMillis

    private fun remainingMillis(nowMillis: Long): Long =
        startedMillis + order.durationMillis - nowMillis

    /** Time before the deadline at which the rollout may be completed. */
    private val completionMillis: Long
        get() = maxOf(MIN_COMPLETION_MILLIS, (COMPLETION_FRACTION * order.durationMillis).toLong())

    // Compares the new version with the most recent requests of the old version on the route. The
    // baseline is reused in each comparison, because the old version gets no requests after the
    // shift.
    private fun evaluate(nowMillis: Long) {
        pendingCounts.entries.removeIf { (route, counts) ->
            val old = limited((baselines[route] ?: VersionCounts()) + counts.old)
            baselines[route] = old
            val isComparable = counts.new.requests > 0 && old.requests > 0
            if (isComparable)
                combinedEvidence.observe(route, RouteCounts(old, counts.new), nowMillis)
            isComparable || counts.new.requests == 0L
        }
    }

    private fun limited(counts: VersionCounts): VersionCounts =
        if (counts.requests <= MAX_BASELINE_REQUESTS) counts
        else VersionCounts(counts.requests / 2, counts.errors / 2, counts.slow / 2)

    /** Returns the status for the operator, based on the state of this instance and [peerIds]. */
    fun verdict(peerIds: Set<String>, nowMillis: Long): RolloutVerdict =
        when (stage) {
            RolloutStage.WITHDRAWN -> RolloutVerdict.ROLLED_BACK
            RolloutStage.SHIFTED ->
                if (isCompletionDue(nowMillis) && isDrained(peerIds, nowMillis))
                    RolloutVerdict.COMPLETED
                else RolloutVerdict.IN_PROGRESS
            else -> RolloutVerdict.IN_PROGRESS
        }

    // A fault that shows after the completion can no longer be undone.
    private fun isCompletionDue(nowMillis: Long): Boolean =
        remainingMillis(nowMillis) <= completionMillis &&
            combinedEvidence.logEvidence < DOUBT_LOG_EVIDENCE

    // Servers of other versions stop as soon as the rollout completes, so none may be in use.
    private fun isDrained(peerIds: Set<String>, nowMillis: Long): Boolean {
        val shiftedMillis = firstShiftedMillis ?: return false
        if (oldInFlight() > 0 || nowMillis - shiftedMillis < MIN_SHIFTED_MILLIS) return false
        return peerIds.all { id ->
            val peer = peers[id]
            peer != null &&
                nowMillis - peer.receivedMillis < MAX_REPORT_AGE_MILLIS &&
                peer.report.stage == RolloutStage.SHIFTED &&
                peer.report.oldInFlight == 0
        }
    }

    /** Returns the report for the other instances. */
    fun report(nowMillis: Long) =
        RolloutReport(
            order.service,
            order.revision,
            stage,
            nowMillis - startedMillis,
            oldInFlight(),
            totalCounts.toMap(),
            account.ownSent,
        )

    private companion object {
        /** Fraction of the duration for which the version gets a sample only. */
        const val MIN_TRIAL_FRACTION = 0.6
        const val LAST_CHECK_FRACTION = 0.5
        /**
         * The rollout is completed this long before its deadline, as a part of the duration and at
         * least. Leaves time for a second instance to write the status.
         */
        const val COMPLETION_FRACTION = 0.02
        const val MIN_COMPLETION_MILLIS = 400L
        /** Time before the deadline in which the version gets every request at least. */
        const val MIN_FULL_LOAD_MILLIS = 1_200L
        /** The expected time of a request is often short of the real one. */
        const val HOLD_SAFETY = 2.0
        /** Difference between the instances' views of the elapsed time. */
        const val HOLD_MARGIN_MILLIS = 200L
        /** A version as good as the old one is withdrawn in about 1 of 100 rollouts. */
        val WITHDRAWAL_LOG_EVIDENCE = ln(100.0)
        /** Evidence of a test of one route by which the version is suspected to fail there. */
        val SUSPECT_LOG_EVIDENCE = ln(2.0)
        /**
         * Evidence against the version that more answers have to refute before the completion,
         * which cannot be undone.
         */
        val DOUBT_LOG_EVIDENCE = ln(4.0)
        /** Maximum number of requests of the old version that a comparison on a route uses. */
        const val MAX_BASELINE_REQUESTS = 60L
        /** Time for the first answers under full load. */
        const val MIN_SHIFTED_MILLIS = 300L
        const val MAX_REPORT_AGE_MILLIS = 1_000L
    }
}
