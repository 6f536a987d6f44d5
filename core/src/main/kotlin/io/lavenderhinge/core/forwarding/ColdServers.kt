package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import io.lavenderhinge.core.limit.TokenBucket

/** How requests to cold servers of a service are limited. */
data class ColdRule(
    /** Requests per second that a cold server takes of all instances; 0 for no limit. */
    val perSecond: Double,
    /** How long servers are cold after a start. */
    val coldMillis: Long,
)

/** The requests to a cold server in any second that the deployment tolerates above its limit. */
data class ColdTolerance(val overageFactor: Double = 1.0, val slack: Double = 0.0) {
    /** Returns the requests to a server that takes [perSecond] which may be sent in any second. */
    fun allowed(perSecond: Double): Double = perSecond * overageFactor + slack
}

/** A server has become cold for [remainingMillis], for the log. */
data class ColdServer(
    val run: ServerRun,
    val remainingMillis: Long,
    val perSecond: Double,
    /** True if only a peer has said so. */
    val isFromPeer: Boolean,
)

/**
 * Keeps the requests of all instances to cold servers within the limit of their service, whether or
 * not the instances are in contact.
 *
 * Addresses deployments in which 30 % of the servers become cold at once and crash if they get much
 * more than 8 requests in a second, from 7 to 325 instances. Each whole request per second belongs
 * to one instance, by rendezvous hashing over [FleetMembers], and that instance sends it at most
 * once in any second. Instances without a share send such a server nothing; other servers take
 * their requests. Instances that differ in their members differ in few shares. The tolerance of the
 * deployment covers these, and reports of peers show when it is used up. Not thread-safe. Times are
 * milliseconds on the monotonic clock.
 */
internal class ColdServers(
    private val members: FleetMembers,
    private val tolerance: ColdTolerance,
) {
    private class Cold(val service: String, val knownMillis: Long, val fleet: TokenBucket) {
        var endMillis = 0L
        var statedMillis = Long.MIN_VALUE
        /** True if the server or its entry says so, and not only a peer. */
        var isOwnKnowledge = false
        val sentMillis = ArrayDeque<Long>()
        var sentCount = 0L
        val peerSentCounts = HashMap<String, Long>()
        var rank = 0
        var rankRevision = -1
        var latency = 0.0
    }

    private val colds = LinkedHashMap<ServerRun, Cold>()
    private var services = emptyMap<ServerRun, String>()
    private val entryRemainingMillis = HashMap<ServerRun, Long>()
    private var reportOffset = 0

    /** Returns the rule of a service; null if there is none. */
    var ruleOf: (service: String) -> ColdRule? = { null }

    /** Called when a server becomes cold, before its limit is in force. */
    var onCold: (ColdServer) -> Unit = {}

    /** True if no server is cold or was until lately, as nearly always. */
    val isEmpty: Boolean
        get() = colds.isEmpty()

    /** Applies the [servers] that the store lists, and what their entries state. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long) {
        services = servers.associate { it.run to it.service }
        colds.keys.retainAll(services.keys)
        entryRemainingMillis.keys.retainAll(services.keys)
        servers.forEach { entry ->
            val remainingMillis = entry.warmUpRemainingMillis
            val previous = entryRemainingMillis.put(entry.run, remainingMillis)
            // An entry that has not been written again is no news while the time runs.
            val isNews = remainingMillis != previous || !isCold(entry.run, nowMillis)
            if (remainingMillis > 0 && isNews) onStated(entry.run, remainingMillis, nowMillis)
        }
    }

    /** Records that [run] is cold for another [remainingMillis], or not at all if that is 0. */
    fun onStated(run: ServerRun, remainingMillis: Long, nowMillis: Long) {
        if (remainingMillis <= 0) {
            val cold = colds[run] ?: return
            cold.statedMillis = nowMillis
            cold.endMillis = minOf(cold.endMillis, nowMillis)
            return
        }
        val cold = enter(run, remainingMillis, isFromPeer = false, nowMillis) ?: return
        cold.statedMillis = nowMillis
        cold.isOwnKnowledge = true
        cold.endMillis = nowMillis + remainingMillis + END_MARGIN_MILLIS
    }

    private fun enter(
        run: ServerRun,
        remainingMillis: Long,
        isFromPeer: Boolean,
        nowMillis: Long,
    ): Cold? {
        val known = colds[run]
        if (known != null && nowMillis < known.endMillis) return known
        val service = services[run] ?: return null
        val rule = ruleOf(service)
        val fleet = TokenBucket(refilledMillis = nowMillis)
        val cold = Cold(service, nowMillis, fleet)
        known?.let { cold.statedMillis = it.statedMillis }
        colds[run] = cold
        onCold(ColdServer(run, remainingMillis, rule?.perSecond ?: 0.0, isFromPeer))
        return cold
    }

    /** Returns true if [run] is cold. */
    fun isCold(run: ServerRun, nowMillis: Long): Boolean =
        colds[run]?.let { nowMillis < it.endMillis } ?: false

    /** Returns true if [run] was cold at any time since [millis]. */
    fun wasColdSince(run: ServerRun, millis: Long): Boolean =
        colds[run]?.let { millis < it.endMillis } ?: false

    /** Returns the limit on requests of all instances to [run], or null if there is none. */
    fun perSecond(run: ServerRun, nowMillis: Long): Double? {
        val cold = colds[run]?.takeIf { nowMillis < it.endMillis } ?: return null
        return ruleOf(cold.service)?.perSecond?.takeIf { it > 0 }
    }

    /** Returns the requests in a window that this instance may send to [run]. */
    private fun share(run: ServerRun, cold: Cold, perSecond: Double): Int {
        if (!members.isListed) return 0
        if (cold.rankRevision != members.revision) {
            cold.rank = members.rank(run.serverId)
            cold.rankRevision = members.revision
        }
        val whole = perSecond.toInt().coerceAtLeast(1)
        return whole / members.count + if (cold.rank < whole % members.count) 1 else 0
    }

    /** Returns how long this instance has to wait for its next request to [run]. */
    fun waitMillis(run: ServerRun, nowMillis: Long): Double {
        val cold = colds[run] ?: return 0.0
        val perSecond = perSecond(run, nowMillis) ?: return 0.0
        val share = share(run, cold, perSecond)
        if (share == 0) return (cold.endMillis - nowMillis).toDouble()
        val window = windowMillis(perSecond)
        // Earlier requests, also those of the run of this instance before, are not known.
        val startMillis = cold.knownMillis + window
        val nextMillis = if (cold.sentMillis.size < share) 0L else cold.sentMillis.first() + window
        val waitMillis = (maxOf(startMillis, nextMillis) - nowMillis).coerceAtLeast(0).toDouble()
        return maxOf(waitMillis, fleetWaitMillis(cold, perSecond, nowMillis))
    }

    private fun windowMillis(perSecond: Double): Long =
        (MILLIS_PER_SECOND / perSecond.coerceAtMost(1.0)).toLong() + ARRIVAL_MARGIN_MILLIS

    // Instances with other members may use shares that are not theirs.
    private fun fleetWaitMillis(cold: Cold, perSecond: Double, nowMillis: Long): Double {
        cold.fleet.refill(perSecond, perSecond, nowMillis)
        val debt = (tolerance.allowed(perSecond) - perSecond).coerceAtLeast(0.0) / 2
        val level = cold.fleet.level + debt
        return if (level >= 0) 0.0 else -level * MILLIS_PER_SECOND / perSecond
    }

    /** Records a request that this instance sends to [run]. */
    fun onSent(run: ServerRun, nowMillis: Long) {
        val cold = colds[run] ?: return
        val perSecond = perSecond(run, nowMillis) ?: return
        cold.sentCount++
        cold.fleet.take()
        cold.sentMillis.addLast(nowMillis)
        val share = share(run, cold, perSecond).coerceAtLeast(1)
        while (cold.sentMillis.size > share) cold.sentMillis.removeFirst()
    }

    /** Returns how many of the [slots] of [run] may be used after its cold time. */
    fun usableSlots(run: ServerRun, slots: Int, nowMillis: Long): Int {
        val cold = colds[run] ?: return slots
        val elapsedMillis = nowMillis - cold.endMillis
        if (elapsedMillis < 0 || elapsedMillis >= RAMP_MILLIS) return slots
        return (slots * elapsedMillis / RAMP_MILLIS).toInt().coerceAtLeast(1)
    }

    /** Records that [run] took [ratio] times as long while cold as when it is warm. */
    fun onObserved(run: ServerRun, ratio: Double) {
        val cold = colds[run] ?: return
        val weight = if (cold.latency == 0.0) 1.0 else LATENCY_WEIGHT
        cold.latency += (ratio.coerceIn(1.0, MAX_LATENCY) - cold.latency) * weight
    }

    /** Returns how much longer requests take at [run] because it is cold; 1 if it is not. */
    fun latencyFactor(run: ServerRun, nowMillis: Long): Double {
        val cold = colds[run]?.takeIf { nowMillis < it.endMillis } ?: return 1.0
        return if (cold.latency > 0) cold.latency else ASSUMED_LATENCY
    }

    /** Returns the reports for the peers; in turn, if there are more than [MAX_REPORTED]. */
    fun reports(nowMillis: Long): List<RateLimitReport> {
        colds.values.removeIf { nowMillis - it.endMillis > KEEP_MILLIS }
        val current = colds.entries.filter { nowMillis < it.value.endMillis }
        if (current.size <= MAX_REPORTED)
            return current.map { (run, it) -> report(run, it, nowMillis) }
        reportOffset = (reportOffset + MAX_REPORTED) % current.size
        return (current.drop(reportOffset) + current).take(MAX_REPORTED).map { (run, it) ->
            report(run, it, nowMillis)
        }
    }

    // What only peers say is not passed on, since it would never end.
    private fun report(run: ServerRun, cold: Cold, nowMillis: Long): RateLimitReport {
        val ageMillis = if (cold.isOwnKnowledge) nowMillis - cold.statedMillis else 0
        val perSecond = ruleOf(cold.service)?.perSecond?.takeIf { cold.isOwnKnowledge }
        return RateLimitReport(run, perSecond, ageMillis, cold.sentCount)
    }

    /** Applies the [reports] of [peer]. */
    fun onPeerReport(peer: String, reports: List<RateLimitReport>, nowMillis: Long) {
        members.onHeard(peer, nowMillis)
        reports.forEach { report ->
            if (report.limitPerSecond != null) onPeerKnowledge(report, nowMillis)
            val cold = colds[report.run] ?: return@forEach
            val previous = cold.peerSentCounts.put(peer, report.sentCount) ?: 0
            val added = report.sentCount - previous
            cold.fleet.take((if (added >= 0) added else report.sentCount).toDouble())
        }
    }

    private fun onPeerKnowledge(report: RateLimitReport, nowMillis: Long) {
        val statedMillis = nowMillis - report.ageMillis
        val known = colds[report.run]
        if (known != null && statedMillis <= known.statedMillis) return
        val service = services[report.run] ?: return
        val coldMillis = ruleOf(service)?.coldMillis?.takeIf { it > 0 } ?: PEER_COLD_MILLIS
        val cold = enter(report.run, PEER_COLD_MILLIS, isFromPeer = true, nowMillis) ?: return
        val endMillis = minOf(nowMillis + PEER_COLD_MILLIS, statedMillis + coldMillis)
        cold.endMillis = maxOf(cold.endMillis, endMillis)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        /** Two requests may arrive closer to each other than they were sent. */
        const val ARRIVAL_MARGIN_MILLIS = 50L
        /** An answer that states the remaining time takes some time itself. */
        const val END_MARGIN_MILLIS = 100L
        /** Time after the cold time until all slots of the server are used. */
        const val RAMP_MILLIS = 2_000L
        const val KEEP_MILLIS = 30_000L
        /** How long the word of a peer holds without another; spans several reports. */
        const val PEER_COLD_MILLIS = 2_000L
        /** Bounds the size of a report. */
        const val MAX_REPORTED = 64
        const val ASSUMED_LATENCY = 3.0
        const val MAX_LATENCY = 20.0
        const val LATENCY_WEIGHT = 0.2
    }
}
