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
    private val rollouts: RolloutBoard = RolloutBoard(),
) {
    private val pools = HashMap<String, ServerPool>()
    private val queues = HashMap<String, MutableList<DispatchAsk>>()
    private val peers = PeerLoads()

    /** Replaces the known servers. Those that stay keep what was learned about them. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long): List<DispatchEffect> {
        rollouts.onServers(servers, nowMillis)
        val byService = servers.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            pools.getOrPut(service) { ServerPool(rollouts) }.update(byService[service].orEmpty())
        }
        return advance(nowMillis)
    }

    /** Asks for a slot. The answer may come at once or from a later call. */
    fun ask(ask: DispatchAsk, nowMillis: Long): List<DispatchEffect> {
        val pool = pools[ask.service]
        if (pool == null || pool.usable(ask, nowMillis).isEmpty()) {
            val reason = DispatchRefusal.NO_SERVER
            return listOf(DispatchEffect.Refuse(ask.id, reason, NO_SERVER_RETRY_MILLIS))
        }
        refusalOnArrival(pool, ask, nowMillis)?.let {
            return listOf(it)
        }
        val queue = queues.getOrPut(ask.service, ::mutableListOf)
        queue.add(ask)
        return serve(pool, queue, nowMillis)
    }

    /** Withdraws a request that still waits. */
    fun withdraw(askId: Long) {
        queues.values.forEach { queue -> queue.removeIf { it.id == askId } }
    }

    /** Tells that something came from a server. */
    fun onSign(serverId: String, service: String, nowMillis: Long) {
        pools[service]?.record(serverId)?.onSign(nowMillis)
    }

    /** Tells that the first event of a request came: its prompt no longer delays others. */
    fun firstEvent(serverId: String, service: String, promptTokens: Double) {
        pools[service]?.record(serverId)?.let {
            it.pendingTokens = (it.pendingTokens - promptTokens).coerceAtLeast(0.0)
        }
    }

    /** Returns the slot of a request. [promptPending] tells that no first event came. */
    fun finished(
        server: ServerEntry,
        outcome: ServerOutcome,
        promptTokens: Double,
        promptPending: Boolean,
        nowMillis: Long,
    ): List<DispatchEffect> {
        val pool = pools[server.service] ?: return emptyList()
        pool.finished(server.id, outcome, if (promptPending) promptTokens else 0.0, nowMillis)
        val queue = queues[server.service] ?: return emptyList()
        return serve(pool, queue, nowMillis)
    }

    /** Takes over what a peer tells of its use of the servers. */
    fun onPeerReport(peer: String, report: LoadReport, nowMillis: Long): List<DispatchEffect> {
        peers.update(peer, report, nowMillis)
        return advance(nowMillis)
    }

    /** Serves the queues again; call it every few milliseconds while requests wait. */
    fun advance(nowMillis: Long): List<DispatchEffect> {
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
            pools.values.flatMap { it.uses() }.toMap(),
            queues.values
                .flatten()
                .groupBy { QueueKey(it.service, it.priority) }
                .mapValues { (_, asks) -> queueState(asks, nowMillis) },
        )

    private fun queueState(asks: List<DispatchAsk>, nowMillis: Long): QueueState {
        val head = asks.minWith(order(nowMillis))
        return QueueState(
            asks.size,
            nowMillis - head.arrivedMillis,
            isHeadLate = head.targetMillis <= nowMillis,
        )
    }

    private fun refusalOnArrival(
        pool: ServerPool,
        ask: DispatchAsk,
        nowMillis: Long,
    ): DispatchEffect.Refuse? {
        val ahead =
            queues[ask.service].orEmpty().count { it.priority <= ask.priority } +
                peers.waiting(ask.service, ask.priority)
        if (ahead == 0) return null
        val waitMillis = ahead * pool.millisPerSlot(ask, nowMillis)
        val leftMillis = ask.deadlineMillis - nowMillis
        if (waitMillis <= leftMillis * MAX_WAIT_FRACTION) return null
        return DispatchEffect.Refuse(ask.id, DispatchRefusal.OVERLOAD, waitMillis.toLong())
    }

    private fun serve(
        pool: ServerPool,
        queue: MutableList<DispatchAsk>,
        nowMillis: Long,
    ): List<DispatchEffect> {
        val effects = mutableListOf<DispatchEffect>()
        queue.sortWith(order(nowMillis))
        val reserved = HashMap<String, Int>()
        val iterator = queue.iterator()
        while (iterator.hasNext()) {
            val ask = iterator.next()
            val placement = pool.place(ask, peers, reserved, failureDomain, nowMillis)
            val effect = effectOf(placement, ask, pool, nowMillis) ?: continue
            iterator.remove()
            effects += effect
        }
        return effects
    }

    private fun effectOf(
        placement: Placement,
        ask: DispatchAsk,
        pool: ServerPool,
        nowMillis: Long,
    ): DispatchEffect? =
        when (placement) {
            is Placement.Send -> {
                pool.started(placement.server.id, ask.promptTokens, nowMillis)
                DispatchEffect.Assign(ask.id, placement.server, placement.expectedMillis)
            }
            is Placement.Wait ->
                if (ask.deadlineMillis - nowMillis > MIN_SERVICE_MILLIS) null
                else DispatchEffect.Refuse(ask.id, DispatchRefusal.EXPIRED, NO_SERVER_RETRY_MILLIS)
            is Placement.NoServer ->
                DispatchEffect.Refuse(ask.id, DispatchRefusal.NO_SERVER, NO_SERVER_RETRY_MILLIS)
        }

    // Within a priority those that can still be on time go first: serving strictly in the order of
    // arrival makes every request late once the queue is longer than the target.
    private fun order(nowMillis: Long): Comparator<DispatchAsk> =
        compareBy<DispatchAsk> { it.priority }
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
