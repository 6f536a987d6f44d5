package io.lavenderhinge.core.forwarding

/**
 * Aggregates the load reports of other instances. Reports expire unless they are renewed.
 *
 * A report describes a moment, and what it lists goes on to end. Where requests take less time than
 * the reports are apart, callers therefore name the time since which reports count for a service.
 */
internal class PeerLoads {
    private class ReceivedReport(val report: LoadReport, val receivedMillis: Long)

    private class ReceivedUse(val use: ServerUse, val receivedMillis: Long)

    private val reports = HashMap<String, ReceivedReport>()
    /** The use of each server by the peers that use it. */
    private val uses = HashMap<String, HashMap<String, ReceivedUse>>()
    /** Peers with queued requests; most peers have none. */
    private val queueing = HashMap<String, ReceivedReport>()

    /** Number of peers whose reports have not expired. */
    val count: Int
        get() = reports.size

    /** Returns the requests of peers at a server, by the reports since [sinceMillis]. */
    fun inFlight(serverId: String, sinceMillis: Long): Int =
        usesOf(serverId, sinceMillis).sumOf { it.inFlight }

    /** Returns the prompt tokens of peers that a server has to read, by the same reports. */
    fun pendingTokens(serverId: String, sinceMillis: Long): Double =
        usesOf(serverId, sinceMillis).sumOf { it.pendingTokens }

    private fun usesOf(serverId: String, sinceMillis: Long): List<ServerUse> =
        uses[serverId]
            ?.values
            .orEmpty()
            .filter { it.receivedMillis >= sinceMillis }
            .map { it.use }

    /**
     * Returns the number of requests for [service] that are queued at peers with a priority of
     * [maxPriority] or more urgent.
     */
    fun waiting(service: String, maxPriority: Int, sinceMillis: Long): Int =
        queueingSince(sinceMillis).sumOf { received ->
            received.report.waiting.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.count else 0
            }
        }

    /** Returns the number of requests for [service] of [priority] that are queued at peers. */
    fun waitingAt(service: String, priority: Int, sinceMillis: Long): Int =
        queueingSince(sinceMillis).sumOf {
            it.report.waiting[QueueKey(service, priority)]?.count ?: 0
        }

    /**
     * Returns the number of requests at peers that take precedence over [request]: all that are
     * more urgent, and the head of each peer's queue of the same priority if it has waited clearly
     * longer. [isLate] is true if [request] can no longer be on time. Without the second part, an
     * instance that holds slots would reuse them for its own requests and starve those of other
     * instances.
     */
    fun countAhead(
        request: DispatchRequest,
        isLate: Boolean,
        nowMillis: Long,
        sinceMillis: Long,
    ): Int =
        waiting(request.service, request.priority - 1, sinceMillis) +
            queueingSince(sinceMillis).count { received ->
                val head = received.report.waiting[QueueKey(request.service, request.priority)]
                head != null && precedes(head, received.receivedMillis, request, isLate, nowMillis)
            }

    private fun queueingSince(sinceMillis: Long): List<ReceivedReport> =
        queueing.values.filter { it.receivedMillis >= sinceMillis }

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
            uses.getOrPut(server, ::HashMap)[peer] = ReceivedUse(use, nowMillis)
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
        removed.report.servers.keys.forEach { server -> removeUse(server, peer) }
    }

    private fun removeUse(server: String, peer: String) {
        val usesOfServer = uses[server] ?: return
        usesOfServer.remove(peer)
        if (usesOfServer.isEmpty()) uses.remove(server)
    }

    private companion object {
        /** A slot that moves to another instance is idle for about one reporting interval. */
        const val MIN_EXTRA_WAIT_MILLIS = 80L
        /** Spans several reports; after it, slots of a crashed instance count as free again. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
