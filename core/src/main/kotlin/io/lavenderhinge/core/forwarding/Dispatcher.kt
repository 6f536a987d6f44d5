package io.lavenderhinge.core.forwarding

/**
 * Assigns requests to backend servers and queues those that have to wait for a slot.
 *
 * Backend servers process requests in order of arrival, without priorities. A server therefore gets
 * at most as many requests as it has slots, and the remaining ones are queued here by priority.
 * Each instance schedules its own requests and learns the usage of other instances from
 * [LoadReport]s. The design load is a burst of twice the capacity of a pool whose servers differ in
 * speed by a factor of several.
 *
 * Not thread-safe: all calls must come from one thread. Times are milliseconds on the monotonic
 * clock.
 */
class Dispatcher(
    private val failureDomain: String,
    private val rollouts: RolloutTracker = RolloutTracker(),
) {
    private val pools = HashMap<String, ServerPool>()
    private val queues = HashMap<String, MutableList<DispatchRequest>>()
    private val peers = PeerLoads()

    /** Replaces the set of known servers. Servers that remain keep their statistics. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long): List<DispatchEffect> {
        rollouts.onServers(servers, nowMillis)
        val byService = servers.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            pools.getOrPut(service) { ServerPool(rollouts) }.update(byService[service].orEmpty())
        }
        return serveQueues(nowMillis)
    }

    /** Requests a slot. The effect for [request] is returned here or by a later call. */
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

    /** Removes a queued request. */
    fun cancel(requestId: Long) {
        queues.values.forEach { queue -> queue.removeIf { it.id == requestId } }
    }

    /** Records that data was received from a server. */
    fun onActivity(serverId: String, service: String, nowMillis: Long) {
        pools[service]?.record(serverId)?.onActivity(nowMillis)
    }

    /** Records the first event of a request; its prompt no longer counts as pending. */
    fun onFirstEvent(serverId: String, service: String, promptTokens: Double) {
        pools[service]?.record(serverId)?.let {
            it.pendingTokens = (it.pendingTokens - promptTokens).coerceAtLeast(0.0)
        }
    }

    /** Releases the slot of a request. [promptPending] is true if no first event was received. */
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

    /** Updates the usage and queue state of a peer. */
    fun onPeerReport(peer: String, report: LoadReport, nowMillis: Long): List<DispatchEffect> {
        peers.update(peer, report, nowMillis)
        return serveQueues(nowMillis)
    }

    /** Reassigns free slots; must be called every few milliseconds while requests are queued. */
    fun serveQueues(nowMillis: Long): List<DispatchEffect> {
        peers.expire(nowMillis)
        return queues.flatMap { (service, queue) ->
            val pool = pools[service]
            if (queue.isEmpty() || pool == null) emptyList() else serve(pool, queue, nowMillis)
        }
    }

    /** True when any request is queued. */
    val hasWaiting: Boolean
        get() = queues.values.any { it.isNotEmpty() }

    /** Returns the load report for the peers. */
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

    // Within a priority, requests that can still meet their target go first. Strict FIFO order
    // would make every request late once the queueing delay exceeds the target.
    private fun queueOrder(nowMillis: Long): Comparator<DispatchRequest> =
        compareBy<DispatchRequest> { it.priority }
            .thenBy { it.targetMillis <= nowMillis }
            .thenBy { it.arrivedMillis }

    private companion object {
        /** Reserves most of the remaining deadline for processing the request. */
        const val MAX_WAIT_FRACTION = 0.4
        const val NO_SERVER_RETRY_MILLIS = 300L
        /** A request with less time left cannot be processed before its deadline. */
        const val MIN_SERVICE_MILLIS = 30L
    }
}
