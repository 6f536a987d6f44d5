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
 * Stages follow the duration of the order, so that instances agree without coordination. The counts
 * of all instances decide whether the version is withdrawn. A version that fails only at full load
 * is thus detected after a small fraction of the requests. Not thread-safe: all calls must come
 * from one thread.
 */
internal class ServiceRollout(
    order: RolloutOrder,
    nowMillis: Long,
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
    private val routeSamples = HashMap<String, Sample>()
    private val totalSample = Sample()
    private var firstShiftedMillis: Long? = null

    /** Answers that this instance cannot judge yet. */
    val unjudgedAnswers = UnjudgedAnswers()

    var stage = RolloutStage.TRIAL
        private set

    /** The strongest test result against the version, if any. */
    val strongestResult: TestResult?
        get() = combinedEvidence.strongest

    private class Sample {
        var requests = 0
        var onTarget = 0
    }

    /** Decides whether a request of [route] uses the target version; call it once per request. */
    fun shouldUseTarget(route: String, instanceCount: Int): Boolean {
        val sample = routeSamples.getOrPut(route, ::Sample)
        sample.requests++
        totalSample.requests++
        if (!isTargetAllowed(sample, instanceCount)) return false
        sample.onTarget++
        totalSample.onTarget++
        return true
    }

    // Every route is sampled, because a version may be faulty on a single route.
    private fun isTargetAllowed(sample: Sample, instanceCount: Int): Boolean {
        val slack = TRIAL_SLACK_REQUESTS / instanceCount.coerceAtLeast(1)
        return when (stage) {
            RolloutStage.TRIAL ->
                sample.onTarget < stage.shareFraction * sample.requests + 1 &&
                    totalSample.onTarget < stage.shareFraction * totalSample.requests + slack
            RolloutStage.RAMP -> sample.onTarget < stage.shareFraction * sample.requests
            RolloutStage.SHIFTED -> true
            RolloutStage.WITHDRAWN -> false
        }
    }

    /** Returns those of [servers] to which a request may be sent. */
    fun <T> select(servers: List<T>, usesTarget: Boolean, entryOf: (T) -> ServerEntry): List<T> {
        val (target, old) = servers.partition { entryOf(it).softwareVersion == order.targetVersion }
        return when (stage) {
            RolloutStage.WITHDRAWN -> old
            RolloutStage.SHIFTED -> target.ifEmpty { old }
            RolloutStage.TRIAL,
            RolloutStage.RAMP ->
                if (usesTarget) canaryServers(target, entryOf).ifEmpty { old } else old
        }
    }

    // The sample is sent to few servers, so that each gets the load it will have after the shift.
    private fun <T> canaryServers(target: List<T>, entryOf: (T) -> ServerEntry): List<T> =
        target.sortedBy { entryOf(it).id }.take(ceil(target.size * stage.shareFraction).toInt())

    /** Adds the outcomes of requests of [route]. */
    fun count(route: String, counts: RouteCounts) {
        totalCounts.merge(route, counts, RouteCounts::plus)
        pendingCounts.merge(route, counts, RouteCounts::plus)
    }

    /** Merges the report of [peer] on this order. */
    fun onPeerReport(peer: String, report: RolloutReport, nowMillis: Long) {
        val reported =
            peers.put(peer, PeerReport(report, nowMillis))?.report?.countsByRoute.orEmpty()
        report.countsByRoute.forEach { (route, counts) ->
            val previous = reported[route] ?: RouteCounts()
            // A restarted peer counts from zero.
            val added = if (counts.isAtLeast(previous)) counts - previous else counts
            pendingCounts.merge(route, added, RouteCounts::plus)
        }
        startedMillis = minOf(startedMillis, nowMillis - report.elapsedMillis)
        if (report.stage == RolloutStage.WITHDRAWN) stage = RolloutStage.WITHDRAWN
    }

    /** Applies the final result of the order, which may predate the start of this instance. */
    fun onOrderEnded(verdict: RolloutVerdict) {
        when (verdict) {
            RolloutVerdict.IN_PROGRESS -> Unit
            RolloutVerdict.COMPLETED -> stage = RolloutStage.SHIFTED
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
        val elapsedFraction = elapsedFraction(nowMillis)
        val due =
            when {
                elapsedFraction >= SHIFT_FRACTION -> RolloutStage.SHIFTED
                elapsedFraction >= RAMP_FRACTION -> RolloutStage.RAMP
                else -> RolloutStage.TRIAL
            }
        if (due > stage) stage = due
        if (stage == RolloutStage.SHIFTED && firstShiftedMillis == null) {
            firstShiftedMillis = nowMillis
        }
    }

    /** Returns true while the versions are compared. */
    fun isInProgress(nowMillis: Long): Boolean =
        stage != RolloutStage.WITHDRAWN && elapsedFraction(nowMillis) < 1

    /** Returns true if the target version will soon get all traffic. */
    fun isShiftNear(nowMillis: Long): Boolean = elapsedFraction(nowMillis) >= LAST_CHECK_FRACTION

    private fun elapsedFraction(nowMillis: Long): Double =
        (nowMillis - startedMillis).toDouble() / order.durationMillis

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
                if (isDrained(peerIds, nowMillis)) RolloutVerdict.COMPLETED
                else RolloutVerdict.IN_PROGRESS
            else -> RolloutVerdict.IN_PROGRESS
        }

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
        )

    private companion object {
        /** Requests that the fleet may send to the version in excess of the trial fraction. */
        const val TRIAL_SLACK_REQUESTS = 16
        /**
         * Fractions of the order's duration; the time after the shift is for requests in flight.
         */
        const val RAMP_FRACTION = 0.4
        const val LAST_CHECK_FRACTION = 0.5
        const val SHIFT_FRACTION = 0.6
        /** A version as good as the old one is withdrawn in about 1 of 100 rollouts. */
        val WITHDRAWAL_LOG_EVIDENCE = ln(100.0)
        /** Maximum number of requests of the old version that a comparison on a route uses. */
        const val MAX_BASELINE_REQUESTS = 60L
        /** Long enough to detect faults that appear only at full load. */
        const val MIN_SHIFTED_MILLIS = 1_000L
        const val MAX_REPORT_AGE_MILLIS = 1_000L
    }
}
