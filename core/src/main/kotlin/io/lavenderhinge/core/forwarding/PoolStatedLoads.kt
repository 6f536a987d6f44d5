package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun

/** What an instance reports of the load that a server has stated to it. */
data class StatedLoadReport(val run: ServerRun, val load: StatedLoad, val ageMillis: Long)

/** Reason why a figure of a stated load is ignored. */
enum class StatedLoadFault {
    /** The server has stated how long work takes on its machine before, but does not now. */
    MISSING,
    /** The figure does not change while observations contradict it. */
    STUCK,
}

/** A figure of the load stated by [run] that is ignored because of [fault], for the log. */
data class IgnoredStatedLoad(val run: ServerRun, val fault: StatedLoadFault)

/**
 * The loads that the servers of one pool state, and what follows from them for placement.
 *
 * Addresses pools in which a sixth of the servers takes 2.5 times its usual time, and which ones
 * changes every 600 ms: faster than latencies of single requests can be learned. Instances report
 * only what servers have stated to themselves. A figure that was passed on again would look newer
 * with each hop by the time that the report takes. Not thread-safe.
 */
internal class PoolStatedLoads(
    private val records: Map<String, ServerRecord>,
    private val features: PoolFeatures,
) {
    private var poolFactor = 1.0
    private var poolFactorMillis: Long? = null

    /** Called with each figure that is ignored. */
    var onIgnored: (IgnoredStatedLoad) -> Unit = {}

    /**
     * Records that a response of [run] states [load], while peers report [peerInFlight] requests in
     * flight at the server.
     */
    fun onStated(run: ServerRun, load: StatedLoad, peerInFlight: Int, nowMillis: Long) {
        features.onStated(load)
        val record = recordOf(run) ?: return
        record.ownStatement = OwnStatement(load, nowMillis, record.inFlight, peerInFlight)
        val factor = load.workTimeFactor
        if (factor != null) update(record, factor, nowMillis, nowMillis)
        else if (record.workTime.isStated) {
            onIgnored(IgnoredStatedLoad(run, StatedLoadFault.MISSING))
        }
    }

    /** Applies the [report] of a peer; one that is older than what is known has no effect. */
    fun onPeerReport(report: StatedLoadReport, nowMillis: Long) {
        val record = recordOf(report.run) ?: return
        if (report.ageMillis !in 0..ServerWorkTime.FRESH_MILLIS) return
        features.onStated(report.load)
        val factor = report.load.workTimeFactor ?: return
        update(record, factor, nowMillis - report.ageMillis - DELIVERY_MILLIS, nowMillis)
    }

    // A statement concerns one run. Another one may be known to the sender already.
    private fun recordOf(run: ServerRun): ServerRecord? =
        records[run.serverId]?.takeIf { it.entry.run == run }

    private fun update(record: ServerRecord, factor: Double, statedMillis: Long, nowMillis: Long) {
        val knownPoolFactor = usualFactor(nowMillis).takeIf { features.isWorkTimeStated }
        record.workTime.onStated(
            factor,
            statedMillis,
            knownPoolFactor,
            record.latencyFactor.takeIf { record.isLatencyKnown },
        )
    }

    /**
     * Returns the expected factor of work at the server of [record] that takes [durationMillis]
     * from [nowMillis] on. Servers that have stated nothing are assumed to be like the others.
     */
    fun factor(record: ServerRecord, durationMillis: Double, nowMillis: Long): Double =
        when {
            !features.isWorkTimeStated -> 1.0
            !record.workTime.isStated -> usualFactor(nowMillis)
            // Bounds the preference for a server that states a machine much faster than usual, so
            // that requests do not gather there.
            else ->
                record.workTime
                    .factor(nowMillis, durationMillis)
                    .coerceAtLeast(MIN_FACTOR_RATIO * usualFactor(nowMillis))
        }

    private fun usualFactor(nowMillis: Long): Double {
        val computedMillis = poolFactorMillis
        if (computedMillis != null && nowMillis - computedMillis < POOL_FACTOR_MILLIS) {
            return poolFactor
        }
        val stated = records.values.filter { it.workTime.isStated }
        if (stated.isEmpty()) return poolFactor
        poolFactor = stated.map { it.workTime.usualFactor }.average()
        poolFactorMillis = nowMillis
        return poolFactor
    }

    /**
     * Returns how many requests at the server of [record] are known neither here nor from the
     * [peerInFlight] that peers report. Those that peers have reported since the server's statement
     * are not counted twice.
     */
    fun unreportedRequests(record: ServerRecord, peerInFlight: Int, nowMillis: Long): Int {
        val statement = record.ownStatement
        if (!features.isWorkTimeStated || statement == null) return 0
        val ageMillis = nowMillis - statement.millis
        if (ageMillis >= ServerWorkTime.FRESH_MILLIS || statement.unreported <= 0) return 0
        val left = statement.unreported * (1 - ageMillis.toDouble() / ServerWorkTime.FRESH_MILLIS)
        val reportedSince = (peerInFlight - statement.peerInFlight).coerceAtLeast(0)
        return (left.toInt() - reportedSince).coerceIn(0, record.entry.slots)
    }

    /** Calls [observe] and reports a figure that is found to be stuck by it. */
    fun checked(record: ServerRecord, observe: () -> Unit) {
        val wasStuck = record.workTime.isStuck
        observe()
        if (record.workTime.isStuck && !wasStuck) {
            onIgnored(IgnoredStatedLoad(record.entry.run, StatedLoadFault.STUCK))
        }
    }

    /** Returns what servers have stated to this instance lately. */
    fun reports(nowMillis: Long): List<StatedLoadReport> {
        if (!features.isWorkTimeStated) return emptyList()
        return records.values.mapNotNull { record ->
            val statement = record.ownStatement ?: return@mapNotNull null
            val ageMillis = nowMillis - statement.millis
            if (ageMillis >= ServerWorkTime.FRESH_MILLIS) null
            else StatedLoadReport(record.entry.run, statement.load, ageMillis)
        }
    }

    /** Returns the speed of the machine during a request sent at [sentMillis] with [outcome]. */
    fun workTimeOf(record: ServerRecord, outcome: ServerOutcome, sentMillis: Long): ObservedWork {
        if (outcome !is ServerOutcome.Answered || !record.workTime.isStated) return ObservedWork()
        val firstMillis = sentMillis + outcome.firstEventMillis.toLong()
        val endMillis = sentMillis + outcome.holdMillis.toLong()
        return ObservedWork(
            firstEventFactor = record.workTime.meanFactor(sentMillis, firstMillis),
            holdFactor = record.workTime.meanFactor(sentMillis, firstMillis, endMillis),
            eventFactor = record.workTime.meanFactor(firstMillis, endMillis),
        )
    }

    companion object {
        /** Bounds the size of a load report. */
        const val MAX_REPORTED = 24
        /** Reports take some milliseconds; a figure must not appear newer than it is. */
        private const val DELIVERY_MILLIS = 4L
        private const val POOL_FACTOR_MILLIS = 1_000L
        private const val MIN_FACTOR_RATIO = 0.5
    }
}

/** The last load that a server stated to this instance, with what was known of it then. */
internal class OwnStatement(
    val load: StatedLoad,
    val millis: Long,
    ownInFlight: Int,
    val peerInFlight: Int,
) {
    /** Requests at the server that neither this instance nor a peer had in flight. */
    val unreported = load.running + load.waiting - ownInFlight - peerInFlight
}

/** How long work took on the machine of a server in the parts of a request's time. */
internal class ObservedWork(
    val firstEventFactor: Double = 1.0,
    val holdFactor: Double = 1.0,
    val eventFactor: Double = 1.0,
)
