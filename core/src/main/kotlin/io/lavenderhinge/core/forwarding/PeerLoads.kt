package io.lavenderhinge.core.forwarding

/** Sums the load reports of the other instances; a report that is not renewed lapses. */
internal class PeerLoads {
    private class ReceivedReport(val report: LoadReport, val receivedMillis: Long)

    private val reports = HashMap<String, ReceivedReport>()
    private val inFlight = HashMap<String, Int>()
    private val pendingTokens = HashMap<String, Double>()

    fun inFlight(serverId: String): Int = inFlight[serverId] ?: 0

    fun pendingTokens(serverId: String): Double = pendingTokens[serverId] ?: 0.0

    /**
     * Requests that wait at peers for [service] with a priority of [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int): Int =
        reports.values.sumOf { received ->
            received.report.waiting.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.count else 0
            }
        }

    /**
     * Requests at peers that go before [request]: all that are more urgent, and of each peer with
     * the same priority its head if that has waited clearly longer. Without the latter an instance
     * that has slots passes them on among its own requests, and those of the others starve.
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

    /** Drops lapsed reports; true when there were any. */
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
        /** A slot that is passed on idles for about the time between two reports. */
        const val MIN_EXTRA_WAIT_MILLIS = 80L
        /** Several reports; slots of an instance that died are free again after it. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
