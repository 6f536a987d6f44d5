package io.lavenderhinge.core.forwarding

/** Aggregates the load reports of other instances. Reports expire unless they are renewed. */
internal class PeerLoads {
    private class ReceivedReport(val report: LoadReport, val receivedMillis: Long)

    private val reports = HashMap<String, ReceivedReport>()
    private val inFlight = HashMap<String, Int>()
    private val pendingTokens = HashMap<String, Double>()

    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun pendingTokens(serverId: String): Double = pendingTokens[serverId] ?: 0.0

    /**
     * Returns the number of requests for [service] that are queued at peers with a priority of
     * [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int): Int =
        reports.values.sumOf { received ->
            received.report.waiting.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.count else 0
            }
        }

    /**
     * Returns the number of requests at peers that take precedence over [request]: all that are
     * more urgent, and the head of each peer's queue of the same priority if it has waited clearly
     * longer. Without the latter, an instance that holds slots would reuse them for its own
     * requests and starve those of other instances.
     */
    fun countAhead(request: DispatchRequest, nowMillis: Long): Int =
        waiting(request.service, request.priority - 1) +
            reports.values.count { received ->
                val head = received.report.waiting[QueueKey(request.service, request.priority)]
                head != null && precedes(head, received.receivedMillis, request, nowMillis)
            }

    private fun precedes(
        head: QueueState,
        receivedMillis: Long,
        request: DispatchRequest,
        nowMillis: Long,
    ): Boolean {
        val isLate = request.targetMillis <= nowMillis
        if (head.isHeadLate != isLate) return isLate
        val headWaitMillis = head.headWaitMillis + nowMillis - receivedMillis
        return headWaitMillis > nowMillis - request.arrivedMillis + MIN_EXTRA_WAIT_MILLIS
    }

    fun update(peer: String, report: LoadReport, nowMillis: Long) {
        reports[peer] = ReceivedReport(report, nowMillis)
        recomputeTotals()
    }

    /** Drops expired reports and returns true if there were any. */
    fun expire(nowMillis: Long): Boolean {
        val hasExpired =
            reports.values.removeIf { nowMillis - it.receivedMillis > REPORT_TTL_MILLIS }
        if (hasExpired) recomputeTotals()
        return hasExpired
    }

    private fun recomputeTotals() {
        inFlight.clear()
        pendingTokens.clear()
        reports.values.forEach { received ->
            received.report.servers.forEach { (server, use) ->
                inFlight.merge(server, use.inFlight, Int::plus)
                pendingTokens.merge(server, use.pendingTokens, Double::plus)
            }
        }
    }

    private companion object {
        /** A slot that moves to another instance is idle for about one reporting interval. */
        const val MIN_EXTRA_WAIT_MILLIS = 80L
        /** Spans several reports; after it, slots of a crashed instance count as free again. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
