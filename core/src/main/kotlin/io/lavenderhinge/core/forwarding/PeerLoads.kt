package io.lavenderhinge.core.forwarding

/**
 * Aggregates the load reports of other instances. Reports expire unless they are renewed.
 *
 * The sums over all peers are updated with the difference between the reports of one peer. The cost
 * of a report therefore depends on its size and not on the number of peers, which both grow with
 * the fleet.
 */
internal class PeerLoads {
    private class ReceivedReport(val report: LoadReport, val receivedMillis: Long)

    private class ServerTotal {
        var inFlight = 0
        var pendingTokens = 0.0
    }

    private val reports = HashMap<String, ReceivedReport>()
    private val totals = HashMap<String, ServerTotal>()
    /** Peers with queued requests; most peers have none. */
    private val queueing = HashMap<String, ReceivedReport>()

    /** Number of peers whose reports have not expired. */
    val count: Int
        get() = reports.size

    fun inFlight(serverId: String): Int = totals[serverId]?.inFlight ?: 0

    fun pendingTokens(serverId: String): Double = totals[serverId]?.pendingTokens ?: 0.0

    /**
     * Returns the number of requests for [service] that are queued at peers with a priority of
     * [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int): Int =
        queueing.values.sumOf { received ->
            received.report.waiting.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.count else 0
            }
        }

    /** Returns the number of requests for [service] of [priority] that are queued at peers. */
    fun waitingAt(service: String, priority: Int): Int =
        queueing.values.sumOf { it.report.waiting[QueueKey(service, priority)]?.count ?: 0 }

    /**
     * Returns the number of requests at peers that take precedence over [request]: all that are
     * more urgent, and the head of each peer's queue of the same priority if it has waited clearly
     * longer. [isLate] is true if [request] can no longer be on time. Without the second part, an
     * instance that holds slots would reuse them for its own requests and starve those of other
     * instances.
     */
    fun countAhead(request: DispatchRequest, isLate: Boolean, nowMillis: Long): Int =
        waiting(request.service, request.priority - 1) +
            queueing.values.count { received ->
                val head = received.report.waiting[QueueKey(request.service, request.priority)]
                head != null && precedes(head, received.receivedMillis, request, isLate, nowMillis)
            }

    private fun precedes(
        head: QueueState,
        receivedMillis: Long,
        request: DispatchRequest,
        isLate: Boolean,
        nowMillis: Long,
    ): Boolean {
        if (head.isHeadLate != isLate) return isLate
        val headWaitMillis = head.headWaitMillis + nowMillis - receivedMillis
        return headWaitMillis > nowMillis - request.arrivedMillis + MIN_EXTRA_WAIT_MILLIS
    }

    fun update(peer: String, report: LoadReport, nowMillis: Long) {
        remove(peer)
        val received = ReceivedReport(report, nowMillis)
        reports[peer] = received
        if (report.waiting.isNotEmpty()) queueing[peer] = received
        report.servers.forEach { (server, use) ->
            val total = totals.getOrPut(server, ::ServerTotal)
            total.inFlight += use.inFlight
            total.pendingTokens += use.pendingTokens
        }
    }

    /** Drops expired reports and returns true if there were any. */
    fun expire(nowMillis: Long): Boolean {
        val expired = reports.filterValues { nowMillis - it.receivedMillis > REPORT_TTL_MILLIS }
        expired.keys.forEach(::remove)
        return expired.isNotEmpty()
    }

    private fun remove(peer: String) {
        val removed = reports.remove(peer) ?: return
        queueing.remove(peer)
        removed.report.servers.forEach { (server, use) -> subtract(server, use) }
    }

    private fun subtract(server: String, use: ServerUse) {
        val total = totals[server] ?: return
        total.inFlight -= use.inFlight
        total.pendingTokens -= use.pendingTokens
        // Removing unused totals also discards the rounding errors of the token sums.
        if (total.inFlight == 0) totals.remove(server)
    }

    private companion object {
        /** A slot that moves to another instance is idle for about one reporting interval. */
        const val MIN_EXTRA_WAIT_MILLIS = 80L
        /** Spans several reports; after it, slots of a crashed instance count as free again. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
