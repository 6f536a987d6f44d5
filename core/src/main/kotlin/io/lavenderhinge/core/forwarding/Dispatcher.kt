package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.quarantine.RequestQuarantine
import kotlin.random.Random

/**
 * Assigns requests to backend servers and queues those that have to wait for a slot. [QueuePolicy]
 * decides their order and which of them are rejected.
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
    private val random: Random = Random.Default,
    /** Time until a server that says that it is leaving must not get requests any more. */
    drainMillis: Long = DEFAULT_DRAIN_MILLIS,
    private val features: SchedulingFeatures = SchedulingFeatures(),
    /** Returns the size in tokens of the cache of each server of a service, if known. */
    private val cacheTokens: (service: String) -> Long? = { null },
    coldTolerance: ColdTolerance = ColdTolerance(),
    /** Converts a time to that of a clock that all instances share. */
    private val toFleetMillis: (nowMillis: Long) -> Long = { it },
) {
    private val pools = HashMap<String, ServerPool>()
    private val policies = HashMap<String, QueuePolicy>()
    private val queues = HashMap<String, MutableList<DispatchRequest>>()
    private val peers = PeerLoads()
    private val peerUses = PeerWorkspaceUses()
    private val members = FleetMembers()
    private val cold = ColdServers(members, coldTolerance)
    private val rateLimits = ServerRateLimits(random, cold)
    private val statements = ServerStatements(drainMillis)
    private val domainDemands = DomainDemands()

    private val domainRules = DomainRules(DomainEvacuations(random) { evacuations() })

    /** Returns the newest evacuations of failure domains; call [serveQueues] after a change. */
    var evacuations: () -> EvacuationState = { EvacuationState() }

    /** The regions of failure domains. */
    var regions: RegionTable by domainRules::regions

    /** Called with each figure of a stated load that is ignored. */
    var onIgnoredLoad: (IgnoredStatedLoad) -> Unit = {}

    /** Called when a server that was in use is ejected. */
    var onEjection: (ServerEjection) -> Unit = {}

    /** Called with changes of the traffic between failure domains. */
    var onSpillover: (SpilloverEvent) -> Unit = {}

    /** Prompt parts that are kept away from the servers. */
    val quarantine = RequestQuarantine(random)
    private val quarantineGate = QuarantineGate(quarantine)
    private val noServer = NoServerPolicy()
    private val reporter =
        LoadReporter(failureDomain, pools, policies, queues, quarantine, rateLimits, ::startRound)

    /** Replaces the set of known servers. Servers that remain keep their statistics. */
    fun onServers(servers: Collection<ServerEntry>, nowMillis: Long): List<DispatchEffect> {
        rollouts.onServers(servers, nowMillis)
        domainDemands.onServers(servers)
        rateLimits.retain(servers.mapTo(HashSet()) { it.run })
        cold.onServers(servers, nowMillis)
        val byService = servers.groupBy { it.service }
        (pools.keys + byService.keys).toSet().forEach { service ->
            poolOf(service).update(byService[service].orEmpty())
        }
        return serveQueues(nowMillis)
    }

    private fun poolOf(service: String): ServerPool =
        pools.getOrPut(service) {
            val spillover = DomainSpillover(service, failureDomain, random) { onSpillover(it) }
            ServerPool(
                    rollouts,
                    rateLimits,
                    statements,
                    PoolFeatures(features),
                    random,
                    spillover,
                    domainRules,
                ) {
                    cacheTokens(service)
                }
                .also {
                    it.onEjection = { ejection -> onEjection(ejection) }
                    it.statedLoads.onIgnored = { ignored -> onIgnoredLoad(ignored) }
                    policies[service] = QueuePolicy(it, ReturnSchedule(toFleetMillis))
                }
        }

    /** Requests a slot. The effect for [request] is returned here or by a later call. */
    fun submit(request: DispatchRequest, nowMillis: Long): List<DispatchEffect> {
        quarantineGate.refusal(request, peers.count, nowMillis)?.let {
            return listOf(it)
        }
        val pool = pools[request.service]
        if (pool == null) return listOf(noServer.refuse(request))
        val queue = queues.getOrPut(request.service, ::mutableListOf)
        val round = startRound(pool, queue, nowMillis)
        if (round.eligible(request).loads.isEmpty()) {
            val refusal = noServer.onNoServer(request, pool, nowMillis)
            if (refusal == null) queue.add(request)
            return listOfNotNull(refusal)
        }
        val policy = policies.getValue(request.service)
        // The digest is read only if requests have to wait.
        val mayWait =
            queue.isNotEmpty() ||
                !round.hasFreeSlot(request) ||
                round.peers.waiting(request.service, request.priority) > 0
        val arrived = if (mayWait) policy.withReturn(request) else request
        policy.rejectionOnArrival(arrived, queue, round)?.let {
            return listOf(it)
        }
        queue.add(arrived)
        pool.spillover.onArrived()
        return serve(pool, queue, round)
    }

    /** Removes a queued request. */
    fun cancel(requestId: Long) {
        queues.values.forEach { queue -> queue.removeIf { it.id == requestId } }
    }

    /** Records that data was received from [server] for a request of [sentMillis]. */
    fun onActivity(server: ServerEntry, sentMillis: Long, nowMillis: Long) {
        pools[server.service]?.record(server.id)?.onActivity(nowMillis)
        quarantine.onActivity(server.run, sentMillis, nowMillis)
    }

    /**
     * Records that a response of [server] states that it takes [limitPerSecond] requests of all
     * instances together, or any number if it is null.
     */
    fun onRateLimit(server: ServerEntry, limitPerSecond: Double?, nowMillis: Long) =
        rateLimits.onStated(server.run, limitPerSecond, nowMillis)

    /** Records what a response of [server] states about it, except for its limit. */
    fun onStatement(server: ServerEntry, statement: ServerStatement, nowMillis: Long) {
        statements.onStated(server.run, statement, nowMillis)
        statement.coldRemainingMillis?.let { cold.onStated(server.run, it, nowMillis) }
        statement.load?.let {
            pools[server.service]?.onStatedLoad(server.run, it, peers, nowMillis)
        }
    }

    /** Calls [listener] with each change of what servers state about themselves. */
    fun onStatementChange(listener: (ServerStatementChange) -> Unit) {
        statements.onChange = listener
    }

    /** Records that the store lists the instances [selfId], which is this one, and [others]. */
    fun onMembers(selfId: String, others: Set<String>, nowMillis: Long) =
        members.onListed(selfId, others, nowMillis)

    /**
     * Takes the limits of cold servers from [ruleOf] and calls [listener] when one becomes cold.
     */
    fun limitColdServers(ruleOf: (service: String) -> ColdRule?, listener: (ColdServer) -> Unit) {
        cold.ruleOf = ruleOf
        cold.onCold = listener
    }

    /** Calls [listener] with each change of the limit that a server states. */
    fun onRateLimitChange(listener: (RateLimitChange) -> Unit) {
        rateLimits.onChange = listener
    }

    /** Records the first event of a request; its prompt no longer counts as pending. */
    fun onFirstEvent(serverId: String, service: String, promptTokens: Double) {
        pools[service]?.record(serverId)?.let {
            it.pendingTokens = (it.pendingTokens - promptTokens).coerceAtLeast(0.0)
        }
    }

    /** Releases the slot of an attempt and learns from its outcome. */
    fun onFinished(attempt: FinishedAttempt, nowMillis: Long): List<DispatchEffect> {
        val service = attempt.server.service
        val pool = pools[service] ?: return emptyList()
        val isServerSilent =
            pool.record(attempt.server.id)?.hasBeenSilentSince(attempt.sentMillis) ?: true
        // A cold server is slow and may be silent without having crashed.
        val isSilent = isServerSilent && !pool.isColdDuring(attempt)
        quarantineGate.onFinished(attempt, isSilent, nowMillis)
        pool.onFinished(attempt, nowMillis)
        val refusals = quarantineGate.refuseQueued(queues.values)
        val queue = queues[service] ?: return refusals
        return refusals + serve(pool, queue, startRound(pool, queue, nowMillis))
    }

    /**
     * Updates the usage and queue state of a peer. A queue is served with it unless that was done
     * just before: in a large fleet, reports arrive more often than most queues need it.
     */
    fun onPeerReport(peer: String, report: LoadReport, nowMillis: Long): List<DispatchEffect> {
        peers.update(peer, report, nowMillis)
        peerUses.onReport(peer, report.workspaceUses, nowMillis) { key, slotMillis ->
            pools[key.service]
                ?.takeIf { it.features.hasFairShares }
                ?.accounts
                ?.onPeerCharge(key.priority, key.workspace, slotMillis, nowMillis)
        }
        domainDemands.onPeerReport(peer, report, nowMillis)
        rateLimits.onPeerReport(peer, report.rateLimits, nowMillis)
        cold.onPeerReport(peer, report.coldLimits, nowMillis)
        report.statedLoads.forEach { load ->
            pools.values.forEach { it.statedLoads.onPeerReport(load, nowMillis) }
        }
        report.quarantine?.let { quarantine.onPeerReport(it, nowMillis) }
        pools.values.forEach { pool ->
            pool.promptMatching.onReported(report.promptHolders, pool::record, nowMillis)
        }
        return serveQueues(nowMillis) { !it.wasJustServed(nowMillis) }
    }

    /** Reassigns free slots; must be called every few milliseconds while requests are queued. */
    fun serveQueues(nowMillis: Long): List<DispatchEffect> = serveQueues(nowMillis) { true }

    private fun serveQueues(nowMillis: Long, isDue: (ServerPool) -> Boolean): List<DispatchEffect> {
        peers.expire(nowMillis)
        return quarantineGate.refuseQueued(queues.values) +
            queues.flatMap { (service, queue) ->
                val pool = pools[service]
                if (queue.isEmpty() || pool == null || !isDue(pool)) emptyList()
                else serve(pool, queue, startRound(pool, queue, nowMillis))
            }
    }

    /** Returns true if the quota of requests for [service] is charged only for what runs. */
    fun hasQuotaRefunds(service: String): Boolean =
        pools[service]?.features?.hasQuotaRefunds ?: false

    /** True when any request is queued. */
    val hasWaiting: Boolean
        get() = queues.values.any { it.isNotEmpty() }

    /** Returns how many requests of this instance are in flight in [failureDomain]. */
    fun inFlightIn(failureDomain: String): Int = pools.values.sumOf { it.inFlightIn(failureDomain) }

    /** Returns the load report for the peers. */
    fun report(nowMillis: Long): LoadReport {
        pools.values.forEach { updateSpillover(it, nowMillis) }
        return reporter.report(nowMillis)
    }

    private fun updateSpillover(pool: ServerPool, nowMillis: Long) =
        pool.spillover.update(domainDemands, queues[pool.service]?.size ?: 0, nowMillis)

    private fun startRound(
        pool: ServerPool,
        queue: Collection<DispatchRequest>,
        nowMillis: Long,
    ): PlacementRound {
        updateSpillover(pool, nowMillis)
        val round = pool.startRound(peers, failureDomain, nowMillis)
        if (pool.features.hasFairShares) {
            val policy = policies.getValue(pool.service)
            round.shares =
                ShareRound(pool.service, pool.accounts, round.peers, queue, nowMillis) {
                    policy.isLate(it, nowMillis)
                }
        }
        return round
    }

    private fun serve(
        pool: ServerPool,
        queue: MutableList<DispatchRequest>,
        round: PlacementRound,
    ): List<DispatchEffect> {
        if (queue.isEmpty()) return emptyList()
        val nowMillis = round.nowMillis
        pool.onServed(nowMillis)
        val policy = policies.getValue(queue.first().service)
        val effects = mutableListOf<DispatchEffect>()
        val waiting = mutableListOf<DispatchRequest>()
        fun place(request: DispatchRequest, aheadAtPeers: Int) {
            val placement = pool.placer.place(request, aheadAtPeers, round)
            val effect = effectOf(placement, request, pool, nowMillis)
            if (effect == null) waiting += request else effects += effect
            if (effect is DispatchEffect.Assign) round.shares?.onStarted(request)
        }
        val order = policy.ordered(queue, round)
        order.owed.forEach { place(it, aheadAtPeers = 0) }
        val others = pool.promptMatching.ordered(order.others, round) { policy.rank(it, round) }
        others.forEach {
            place(it, round.peers.countAhead(it, policy.isLate(it, nowMillis), round.shares))
        }
        queue.clear()
        queue.addAll(waiting)
        waiting
            .filter { policy.isLate(it, nowMillis) }
            .forEach { request ->
                val refusal = policy.rejection(request, queue, round) ?: return@forEach
                queue.remove(request)
                effects += refusal
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
                pool.onStarted(placement.server.id, request, placement.uncachedTokens, nowMillis)
                DispatchEffect.Assign(
                    request.id,
                    placement.server,
                    placement.expectedMillis,
                    placement.uncachedTokens,
                    placement.inputs,
                    heldTokens = request.promptTokens - placement.uncachedTokens,
                )
            }
            is Placement.Wait ->
                if (!policies.getValue(request.service).isExpired(request, nowMillis)) null
                else
                    DispatchEffect.Refuse(
                        request.id,
                        DispatchRefusal.EXPIRED,
                        NoServerPolicy.RETRY_MILLIS,
                    )
            is Placement.NoServer -> noServer.onNoServer(request, pool, nowMillis)
        }

    /** Default values. */
    companion object {
        /** Drain time of a deployment that sets none. */
        const val DEFAULT_DRAIN_MILLIS = 2_000L
    }
}
