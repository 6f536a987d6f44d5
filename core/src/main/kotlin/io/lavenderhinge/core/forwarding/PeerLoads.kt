package io.lavenderhinge.core.forwarding

/**
 * Aggregates the load reports of other instances. Reports expire unless they are renewed.
 *
 * A peer reports changes only after a pause since its last report. Where requests take less time
 * than this pause, those that a report lists have mostly ended, but are not reported as such yet.
 * Once the pause is over without a new report, nothing has changed. [at] therefore leaves out the
 * reports in between.
 */
internal class PeerLoads {
    private class ReceivedReport(val report: LoadReport, val receivedMillis: Long) {
        /** The waiting requests of each queue by workspace; read by many passes. */
        private val waitingByQueue by
            lazy(LazyThreadSafetyMode.NONE) {
                report.workspaceUses.entries
                    .filter { it.value.waiting > 0 }
                    .groupBy({ QueueKey(it.key.service, it.key.priority) }) {
                        WaitingWorkspace(it.key.workspace, it.value.waiting)
                    }
            }

        fun waiting(key: QueueKey): List<WaitingWorkspace> = waitingByQueue[key].orEmpty()
    }

    private class ReceivedUse(val use: ServerUse, val receivedMillis: Long)

    private class ReceivedQueue(
        val state: QueueState,
        val receivedMillis: Long,
        /** The requests of the queue that can still be on time. */
        val waiting: List<WaitingWorkspace>,
    ) {
        private var isWithinShare: Boolean? = null

        fun isWithinShare(priority: Int, shares: ShareRound): Boolean =
            isWithinShare ?: shares.isAnyWithinShare(priority, waiting).also { isWithinShare = it }
    }

    /** The queues of one service and priority at all peers. */
    private class PeerQueues {
        val heads = mutableListOf<ReceivedQueue>()
        var waiting = 0
            private set

        fun add(key: QueueKey, state: QueueState, received: ReceivedReport) {
            heads += ReceivedQueue(state, received.receivedMillis, received.waiting(key))
            waiting += state.count
        }
    }

    private val reports = HashMap<String, ReceivedReport>()
    /** The use of each server by the peers that use it. */
    private val uses = HashMap<String, HashMap<String, ReceivedUse>>()
    /** Peers with queued requests; most peers have none. */
    private val queueingPeers = HashMap<String, ReceivedReport>()

    /** Number of peers whose reports have not expired. */
    val count: Int
        get() = reports.size

    /**
     * Returns the loads at [nowMillis] of a service whose requests take [holdMillis]. Only queues
     * of peers in [queueDomain] count if it is given, and those of peers that do not state theirs.
     */
    fun at(nowMillis: Long, holdMillis: Double, queueDomain: String? = null): Current =
        Current(nowMillis, holdMillis, queueDomain)

    /** The loads of one service by the reports that still describe it. */
    inner class Current(
        private val nowMillis: Long,
        private val holdMillis: Double,
        private val queueDomain: String?,
    ) {
        private val pauseMillis = ReportPacing.pauseMillis(count) + DELIVERY_MILLIS
        private val queues by lazy(LazyThreadSafetyMode.NONE) { currentQueues() }

        /** Number of peers, whatever the age of their reports. */
        val peerCount: Int
            get() = count

        /** Returns what all peers together have in flight at a server. */
        fun useOf(serverId: String): ServerUse {
            var inFlight = 0
            var pendingTokens = 0.0
            uses[serverId]?.values?.forEach { received ->
                if (describes(received.receivedMillis)) {
                    inFlight += received.use.inFlight
                    pendingTokens += received.use.pendingTokens
                }
            }
            return ServerUse(inFlight, pendingTokens)
        }

        /**
         * Returns the number of requests for [service] that are queued at peers with a priority of
         * [maxPriority] or more urgent.
         */
        fun waiting(service: String, maxPriority: Int): Int =
            queues.entries.sumOf { (key, queue) ->
                if (key.service == service && key.priority <= maxPriority) queue.waiting else 0
            }

        /** Returns the number of requests for [service] of [priority] that are queued at peers. */
        fun waitingAt(service: String, priority: Int): Int =
            queues[QueueKey(service, priority)]?.waiting ?: 0

        /** Returns the number of requests on time that are queued at peers for each workspace. */
        fun waitingByWorkspace(service: String, priority: Int): Map<String, Int> {
            val waiting = HashMap<String, Int>()
            queues[QueueKey(service, priority)]?.heads?.forEach { head ->
                head.waiting.forEach { waiting.merge(it.workspace, it.count, Int::plus) }
            }
            return waiting
        }

        /**
         * Returns the number of requests at peers that take precedence over [request]: all that are
         * more urgent, and the head of each peer's queue of the same priority if it has waited
         * clearly longer. [isLate] is true if [request] can no longer be on time. Without the
         * second part, an instance that holds slots would reuse them for its own requests and
         * starve those of other instances. With [shares], the heads of workspaces within their
         * share precede a request above its share, and not the other way round. Heads that have
         * waited for less than [minHeadWaitMillis] do not count.
         */
        fun countAhead(
            request: DispatchRequest,
            isLate: Boolean,
            shares: ShareRound?,
            minHeadWaitMillis: Long = 0,
        ): Int {
            val isWithinShare = shares?.isWithinShare(request) ?: true
            return waiting(request.service, request.priority - 1) +
                headsOf(request).count { head ->
                    headWaitMillis(head) >= minHeadWaitMillis &&
                        isAhead(head, request, isLate, isWithinShare, shares)
                }
        }

        private fun isAhead(
            head: ReceivedQueue,
            request: DispatchRequest,
            isLate: Boolean,
            isWithinShare: Boolean,
            shares: ShareRound?,
        ): Boolean {
            val isHeadWithinShare = shares == null || head.isWithinShare(request.priority, shares)
            return if (isLate || head.state.isHeadLate || isHeadWithinShare == isWithinShare)
                precedes(head, request, isLate, nowMillis)
            else isHeadWithinShare && headWaitMillis(head) > MIN_EXTRA_WAIT_MILLIS
        }

        private fun headWaitMillis(head: ReceivedQueue): Long =
            head.state.headWaitMillis + nowMillis - head.receivedMillis

        private fun headsOf(request: DispatchRequest): List<ReceivedQueue> =
            queues[QueueKey(request.service, request.priority)]?.heads.orEmpty()

        private fun currentQueues(): Map<QueueKey, PeerQueues> {
            val byKey = HashMap<QueueKey, PeerQueues>()
            queueingPeers.values
                .filter { describes(it.receivedMillis) && isInQueueDomain(it.report) }
                .forEach { received ->
                    received.report.waiting.forEach { (key, state) ->
                        byKey.getOrPut(key, ::PeerQueues).add(key, state, received)
                    }
                }
            return byKey
        }

        private fun isInQueueDomain(report: LoadReport): Boolean =
            queueDomain == null ||
                report.failureDomain.isEmpty() ||
                report.failureDomain == queueDomain

        private fun describes(receivedMillis: Long): Boolean {
            val ageMillis = nowMillis - receivedMillis
            return ageMillis <= holdMillis || ageMillis > pauseMillis
        }
    }

    private fun precedes(
        head: ReceivedQueue,
        request: DispatchRequest,
        isLate: Boolean,
        nowMillis: Long,
    ): Boolean {
        if (head.state.isHeadLate != isLate) return isLate
        val headWaitMillis = head.state.headWaitMillis + nowMillis - head.receivedMillis
        return headWaitMillis > nowMillis - request.arrivedMillis + MIN_EXTRA_WAIT_MILLIS
    }

    fun update(peer: String, report: LoadReport, nowMillis: Long) {
        remove(peer)
        val received = ReceivedReport(report, nowMillis)
        reports[peer] = received
        if (report.waiting.isNotEmpty()) queueingPeers[peer] = received
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
        queueingPeers.remove(peer)
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
        /** Time for a report to be sent and to arrive. */
        const val DELIVERY_MILLIS = 20L
        /** Spans several reports; after it, slots of a crashed instance count as free again. */
        const val REPORT_TTL_MILLIS = 1_200L
    }
}
