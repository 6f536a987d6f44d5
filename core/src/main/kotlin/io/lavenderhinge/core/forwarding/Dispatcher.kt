package io.lavenderhinge.core.forwarding

/**
 * Places requests on backend servers and queues those that must wait.
 *
 * Backend servers admit requests in the order of arrival and know no priorities, so at most as many
 * requests are sent to a server as it runs at once, and the rest wait here by urgency. Each
 * instance places its own requests; [LoadReport]s tell it what the others use. The load it answers:
 * bursts of twice the capacity of a pool whose servers differ in speed several times over.
 *
 * Confined to one thread. Times are monotonic milliseconds.
 */
class Dispatcher(
    private val failureDomain: String,
    private val rollouts: RolloutTracker = RolloutTracker(),
) {
    private val pools = HashMap<String, ServerPool>()
    private val queues = HashMap<String, MutableList<DispatchRequest>>()
    private val peers = PeerLoads()

    /** Replaces the known servers. Those that stay keep what was learned about them. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long): List<DispatchEffect> {
        rollouts.onServers(servers, nowMillis)
        val byService = servers.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            pools.getOrPut(service) { ServerPool(rollouts) }.update(byService[service].orEmpty())
        }
        return serveQueues(nowMillis)
    }

    /** Asks for a slot. The answer may come at once or from a later call. */
    fun submit(request: DispatchRequest, nowMillis: Long): List<DispatchEffect> {
        val pool = pools[request.service]
        if (pool == null || pool.eligibleServers(request, nowMillis).isEmpty()) {
            val reason = DispatchRefusal.NO_SERVER
            return listOf(DispatchEffect.Refuse(request.id, reason, NO_SERVER_RETRY_MILLIS))
        }
        overloadRefusal(pool, request, nowMillis)?.let {
            return listOf(it)
        }
        val queue = queues.getOrPut(request.service, ::mutableListOf)
        queue.add(request)
        return serve(pool, queue, nowMillis)
    }

    /** Withdraws a request that still waits. */
    fun cancel(requestId: Long) {
        queues.values.forEach { queue -> queue.removeIf { it.id == requestId } }
    }

    /** Tells that something came from a server. */
    fun onActivity(serverId: String, service: String, nowMillis: Long) {
        pools[service]?.record(serverId)?.onActivity(nowMillis)
    }

    /** Tells that the first event of a request came: its prompt no longer delays others. */
    fun onFirstEvent(serverId: String, service: String, promptTokens: Double) {
        pools[service]?.record(serverId)?.let {
            it.pendingTokens = (it.pendingTokens - promptTokens).coerceAtLeast(0.0)
        }
    }

    /** Returns the slot of a request. [promptPending] tells that no first event came. */
    fun onFinished(
        server: ServerEntry,
        outcome: ServerOutcome,
        promptTokens: Double,
        promptPending: Boolean,
        nowMillis: Long,
    ): List<DispatchEffect> {
        val pool = pools[server.service] ?: return emptyList()
        pool.onFinished(server.id, outcome, if (promptPending) promptTokens else 0.0, nowMillis)
        val queue = queues[server.service] ?: return emptyList()
        return serve(pool, queue, nowMillis)
    }

    /** Takes over what a peer tells of its use of the servers. */
    fun onPeerReport(peer: String, report: LoadReport, nowMillis: Long): List<DispatchEffect> {
        peers.update(peer, report, nowMillis)
        return serveQueues(nowMillis)
    }

    /** Serves the queues again; call it every few milliseconds while requests wait. */
    fun serveQueues(nowMillis: Long): List<DispatchEffect> {
        peers.expire(nowMillis)
        return queues.flatMap { (service, queue) ->
            val pool = pools[service]
            if (queue.isEmpty() || pool == null) emptyList() else serve(pool, queue, nowMillis)
        }
    }

    /** True when requests wait. */
    val hasWaiting: Boolean
        get() = queues.values.any { it.isNotEmpty() }

    /** What to tell the peers. */
    fun report(nowMillis: Long): LoadReport =
        LoadReport(
            pools.values.flatMap { it.usage() }.toMap(),
            queues.values
                .flatten()
                .groupBy { QueueKey(it.service, it.priority) }
                .mapValues { (_, requests) -> queueState(requests, nowMillis) },
        )

    private fun queueState(requests: List<DispatchRequest>, nowMillis: Long): QueueState {
        val head = requests.minWith(queueOrder(nowMillis))
        return QueueState(
            requests.size,
            nowMillis - head.arrivedMillis,
            isHeadLate = head.targetMillis <= nowMillis,
        )
    }

    private fun overloadRefusal(
        pool: ServerPool,
        request: DispatchRequest,
        nowMillis: Long,
    ): DispatchEffect.Refuse? {
        val ahead =
            queues[request.service].orEmpty().count { it.priority <= request.priority } +
                peers.waiting(request.service, request.priority)
        if (ahead == 0) return null
        val waitMillis = ahead * pool.slotIntervalMillis(request, nowMillis)
        val leftMillis = request.deadlineMillis - nowMillis
        if (waitMillis <= leftMillis * MAX_WAIT_FRACTION) return null
        return DispatchEffect.Refuse(request.id, DispatchRefusal.OVERLOAD, waitMillis.toLong())
    }

    private fun serve(
        pool: ServerPool,
        queue: MutableList<DispatchRequest>,
        nowMillis: Long,
    ): List<DispatchEffect> {
        val effects = mutableListOf<DispatchEffect>()
        queue.sortWith(queueOrder(nowMillis))
        val reserved = HashMap<String, Int>()
        val iterator = queue.iterator()
        while (iterator.hasNext()) {
            val request = iterator.next()
            val placement = pool.place(request, peers, reserved, failureDomain, nowMillis)
            val effect = effectOf(placement, request, pool, nowMillis) ?: continue
            iterator.remove()
            effects += effect
        }
        return effects
    }

    private fun effectOf(
        placement: Placement,
        request: DispatchRequest,
        pool: ServerPool,
        nowMillis: Long,
    ): DispatchEffect? =
        when (placement) {
            is Placement.Send -> {
                pool.onStarted(placement.server.id, request.promptTokens, nowMillis)
                DispatchEffect.Assign(request.id, placement.server, placement.expectedMillis)
            }
            is Placement.Wait ->
                if (request.deadlineMillis - nowMillis > MIN_SERVICE_MILLIS) null
                else
                    DispatchEffect.Refuse(
                        request.id,
                        DispatchRefusal.EXPIRED,
                        NO_SERVER_RETRY_MILLIS,
                    )
            is Placement.NoServer ->
                DispatchEffect.Refuse(request.id, DispatchRefusal.NO_SERVER, NO_SERVER_RETRY_MILLIS)
        }

    // Within a priority those that can still be on time go first: serving strictly in the order of
    // arrival makes every request late once the queue is longer than the target.
    private fun queueOrder(nowMillis: Long): Comparator<DispatchRequest> =
        compareBy<DispatchRequest> { it.priority }
            .thenBy { it.targetMillis <= nowMillis }
            .thenBy { it.arrivedMillis }

    private companion object {
        /** Leaves most of the caller's time for the answer itself. */
        const val MAX_WAIT_FRACTION = 0.4
        const val NO_SERVER_RETRY_MILLIS = 300L
        /** A request with less time left could not be answered. */
        const val MIN_SERVICE_MILLIS = 30L
    }
}
