package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.CombinedEvidence
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.TestResult
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionCounts
import kotlin.math.ceil
import kotlin.math.ln

/**
 * One instance's part in one rollout.
 *
 * Stages follow the order's duration, so that instances agree without asking each other, and what
 * every instance counted decides whether the version is withdrawn. A version that turns out bad
 * only at full load has then had a small part of the requests. Confined to one thread.
 */
internal class ServiceRollout(
    val order: RolloutOrder,
    nowMillis: Long,
    /** Requests of this instance at servers of other versions, those before the order included. */
    private val oldInFlight: () -> Int,
) {
    private class Peer(val report: RolloutReport, val heardMillis: Long)

    private var startedMillis = nowMillis
    private val pool =
        CombinedEvidence(TestWindow(startedMillis, startedMillis + order.durationMillis))
    private val unjudged = HashMap<String, RouteCounts>()
    private val lastOld = HashMap<String, VersionCounts>()
    private val counted = HashMap<String, RouteCounts>()
    private val peers = HashMap<String, Peer>()
    private val routes = HashMap<String, Share>()
    private val total = Share()
    private var firstShiftedMillis: Long? = null

    var stage = RolloutStage.TRIAL
        private set

    /** The strongest test when the version was withdrawn. */
    val strongest: TestResult?
        get() = pool.strongest

    private class Share {
        var requests = 0
        var onTarget = 0
    }

    /** Decides once for a request of [route] whether it tries the target version. */
    fun usesTarget(route: String, instanceCount: Int): Boolean {
        val share = routes.getOrPut(route, ::Share)
        share.requests++
        total.requests++
        if (!mayUseTarget(share, instanceCount)) return false
        share.onTarget++
        total.onTarget++
        return true
    }

    // Each route gets its part of the sample, because a version may be bad on one route alone.
    private fun mayUseTarget(share: Share, instanceCount: Int): Boolean {
        val slack = TRIAL_SLACK_REQUESTS / instanceCount.coerceAtLeast(1)
        return when (stage) {
            RolloutStage.TRIAL ->
                share.onTarget < stage.shareFraction * share.requests + 1 &&
                    total.onTarget < stage.shareFraction * total.requests + slack
            RolloutStage.RAMP -> share.onTarget < stage.shareFraction * share.requests
            RolloutStage.SHIFTED -> true
            RolloutStage.WITHDRAWN -> false
        }
    }

    /** The servers of [servers] that a request may go to. */
    fun <T> select(servers: List<T>, usesTarget: Boolean, entryOf: (T) -> ServerEntry): List<T> {
        val (target, old) = servers.partition { entryOf(it).softwareVersion == order.targetVersion }
        return when (stage) {
            RolloutStage.WITHDRAWN -> old
            RolloutStage.SHIFTED -> target.ifEmpty { old }
            RolloutStage.TRIAL,
            RolloutStage.RAMP -> if (usesTarget) tried(target, entryOf).ifEmpty { old } else old
        }
    }

    // The sample goes to few servers, so that they carry a load as they will after the move.
    private fun <T> tried(target: List<T>, entryOf: (T) -> ServerEntry): List<T> =
        target.sortedBy { entryOf(it).id }.take(ceil(target.size * stage.shareFraction).toInt())

    /** Counts answers of [route]. */
    fun count(route: String, counts: RouteCounts) {
        counted.merge(route, counts, RouteCounts::plus)
        unjudged.merge(route, counts, RouteCounts::plus)
    }

    /** Takes over what [peer] tells of this order. */
    fun onPeerReport(peer: String, report: RolloutReport, nowMillis: Long) {
        val before = peers.put(peer, Peer(report, nowMillis))?.report?.countsByRoute.orEmpty()
        report.countsByRoute.forEach { (route, counts) ->
            val known = before[route] ?: RouteCounts()
            // A peer that has started anew counts from zero.
            val added = if (counts.isAtLeast(known)) counts - known else counts
            unjudged.merge(route, added, RouteCounts::plus)
        }
        startedMillis = minOf(startedMillis, nowMillis - report.elapsedMillis)
        if (report.stage == RolloutStage.WITHDRAWN) stage = RolloutStage.WITHDRAWN
    }

    /** Takes over how the order ended, perhaps before this instance started. */
    fun onEnded(verdict: RolloutVerdict) {
        when (verdict) {
            RolloutVerdict.IN_PROGRESS -> Unit
            RolloutVerdict.COMPLETED -> stage = RolloutStage.SHIFTED
            RolloutVerdict.ROLLED_BACK -> stage = RolloutStage.WITHDRAWN
        }
    }

    /** Judges what was counted since the last call, and moves on when it is time. */
    fun advance(nowMillis: Long) {
        judge(nowMillis)
        if (stage == RolloutStage.WITHDRAWN) return
        if (pool.logEvidence > WITHDRAWAL_LOG_EVIDENCE) {
            stage = RolloutStage.WITHDRAWN
            return
        }
        val elapsedFraction = (nowMillis - startedMillis).toDouble() / order.durationMillis
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

    // The new version is held against the old one's last answers on the route. They are used again
    // in each comparison: after the shift the old version gets no more.
    private fun judge(nowMillis: Long) {
        unjudged.entries.removeIf { (route, counts) ->
            val old = recent((lastOld[route] ?: VersionCounts()) + counts.old)
            lastOld[route] = old
            val isComparable = counts.new.requests > 0 && old.requests > 0
            if (isComparable) pool.observe(route, RouteCounts(old, counts.new), nowMillis)
            isComparable || counts.new.requests == 0L
        }
    }

    private fun recent(counts: VersionCounts): VersionCounts =
        if (counts.requests <= KEPT_REQUESTS) counts
        else VersionCounts(counts.requests / 2, counts.errors / 2, counts.slow / 2)

    /** What the operator is to be told, as far as this instance and [peerIds] know. */
    fun verdict(peerIds: Set<String>, nowMillis: Long): RolloutVerdict =
        when (stage) {
            RolloutStage.WITHDRAWN -> RolloutVerdict.ROLLED_BACK
            RolloutStage.SHIFTED ->
                if (isDrained(peerIds, nowMillis)) RolloutVerdict.COMPLETED
                else RolloutVerdict.IN_PROGRESS
            else -> RolloutVerdict.IN_PROGRESS
        }

    // Servers of other versions end at once on completion, so nobody may still use one.
    private fun isDrained(peerIds: Set<String>, nowMillis: Long): Boolean {
        val shiftedMillis = firstShiftedMillis ?: return false
        if (oldInFlight() > 0 || nowMillis - shiftedMillis < MIN_SHIFTED_MILLIS) return false
        return peerIds.all { id ->
            val peer = peers[id]
            peer != null &&
                nowMillis - peer.heardMillis < FRESH_MILLIS &&
                peer.report.stage == RolloutStage.SHIFTED &&
                peer.report.oldInFlight == 0
        }
    }

    /** What to tell the others. */
    fun report(nowMillis: Long) =
        RolloutReport(
            order.service,
            order.revision,
            stage,
            nowMillis - startedMillis,
            oldInFlight(),
            counted.toMap(),
        )

    private companion object {
        /** Requests of the whole fleet that may try the version beyond the share. */
        const val TRIAL_SLACK_REQUESTS = 16
        /** Parts of the order's duration; the rest after the shift is for requests in flight. */
        const val RAMP_FRACTION = 0.4
        const val SHIFT_FRACTION = 0.6
        /** A version that is as good as the old one is withdrawn about once in 100 rollouts. */
        val WITHDRAWAL_LOG_EVIDENCE = ln(100.0)
        /** Answers of the old version on a route that a comparison uses at most. */
        const val KEPT_REQUESTS = 60L
        /** Faults that begin with the full load show within it. */
        const val MIN_SHIFTED_MILLIS = 1_000L
        const val FRESH_MILLIS = 1_000L
    }
}
