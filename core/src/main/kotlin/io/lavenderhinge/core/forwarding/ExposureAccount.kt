package io.lavenderhinge.core.forwarding

import kotlin.math.sqrt

/**
 * The account of the requests that a version under rollout may get by the [limit].
 *
 * The balance of an instance is its share of the limit less the requests that it has sent to the
 * version. Instances that hear from each other add up their balances. One that is silent keeps its
 * positive balance for itself, since it may be cut off and spend it; a negative one counts against
 * all others. The slack is divided evenly. So what all instances spend stays within the limit, also
 * if each part of a divided fleet decides by itself. Times are milliseconds on the monotonic clock.
 * Not thread-safe.
 */
internal class ExposureAccount(private val limit: ExposureLimit) {
    private class PeerRequests(val sent: SentRequests, val receivedMillis: Long)

    private val own = SentCounter()
    private val peers = HashMap<String, PeerRequests>()
    /** Negative balances that peers had when they ended. */
    private var debtOfEndedRuns = 0.0

    /** Instances among which the slack is divided, as far as they are known. */
    var instanceCount = 1
        set(value) {
            field = maxOf(field, value)
        }

    /** The requests that this instance has sent. */
    val ownSent: SentRequests
        get() = own.sent

    /** The requests that all instances are known to have sent. */
    val knownSent: SentRequests
        get() = peers.values.fold(own.sent) { sum, peer -> sum + peer.sent }

    /** Counts a request of this instance. */
    fun onSent(isTarget: Boolean) = own.onSent(isTarget)

    /** Replaces the counts of [peer]. */
    fun onPeerReport(peer: String, sent: SentRequests, nowMillis: Long) {
        val previous = peers.put(peer, PeerRequests(sent, nowMillis))?.sent ?: return
        // A restarted peer counts from zero.
        if (sent.total < previous.total) debtOfEndedRuns += debtOf(previous)
    }

    /** Measures the current rate of requests. */
    fun advance(nowMillis: Long) = own.advance(nowMillis)

    /**
     * Returns true if the version may get all requests of the next [remainingMillis], as it comes
     * to at the present rate and at the mean one of the [elapsedMillis] since the order. The mean
     * is needed because this is asked often, and the present rate is low at times by chance. Part
     * of the slack is left for requests that come faster.
     */
    fun allowsAll(remainingMillis: Long, elapsedMillis: Long, nowMillis: Long): Boolean {
        val total = own.sent.total + heard(nowMillis).sumOf { it.sent.total }
        val meanCost = cost(total * remainingMillis.toDouble() / elapsedMillis.coerceAtLeast(1))
        val planned = balance(limit.slackRequests * PLANNED_SLACK_FRACTION, nowMillis)
        return maxOf(meanCost, costOfAll(remainingMillis, nowMillis)) <= planned
    }

    /**
     * Returns true if all requests of the next [remainingMillis] would exceed the limit, and more
     * than by chance.
     */
    fun isOverdrawn(remainingMillis: Long, nowMillis: Long): Boolean {
        val cost = costOfAll(remainingMillis, nowMillis)
        return cost - CHANCE_DEVIATIONS * sqrt(cost) > balance(limit.slackRequests, nowMillis)
    }

    // Each request raises the limit as well.
    private fun cost(requests: Double) = requests * (1 - limit.shareFraction)

    // What a peer has sent since its last report may have gone to the version.
    private fun costOfAll(remainingMillis: Long, nowMillis: Long): Double {
        val ofPeers =
            heard(nowMillis).sumOf {
                it.sent.perSecond * (remainingMillis + nowMillis - it.receivedMillis)
            }
        return cost((own.sent.perSecond * remainingMillis + ofPeers) / MILLIS_PER_SECOND)
    }

    private fun balance(slackRequests: Double, nowMillis: Long): Double {
        val heard = heard(nowMillis)
        val silentDebt = peers.values.filterNot { it in heard }.sumOf { debtOf(it.sent) }
        val slack = slackRequests * (heard.size + 1) / maxOf(instanceCount, peers.size + 1)
        val balances = balanceOf(own.sent) + heard.sumOf { balanceOf(it.sent) }
        return balances + slack + silentDebt + debtOfEndedRuns
    }

    private fun heard(nowMillis: Long): Set<PeerRequests> =
        peers.values.filterTo(LinkedHashSet()) {
            nowMillis - it.receivedMillis < MAX_REPORT_AGE_MILLIS
        }

    private fun balanceOf(sent: SentRequests) = limit.shareFraction * sent.total - sent.onTarget

    private fun debtOf(sent: SentRequests) = balanceOf(sent).coerceAtMost(0.0)

    private operator fun SentRequests.plus(other: SentRequests) =
        SentRequests(total + other.total, onTarget + other.onTarget, perSecond + other.perSecond)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        /** Standard deviations of the number of requests that are taken for chance. */
        const val CHANCE_DEVIATIONS = 1.0
        /** Part of the slack that is planned with, so that a burst finds the rest. */
        const val PLANNED_SLACK_FRACTION = 0.6
        /** Several reports of a large fleet; a peer that is silent for longer may be cut off. */
        const val MAX_REPORT_AGE_MILLIS = 1_000L
    }
}
