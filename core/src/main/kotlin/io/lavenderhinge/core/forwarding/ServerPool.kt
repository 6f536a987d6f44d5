package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

/** The backend servers of one service and their statistics. */
internal class ServerPool(
    rollouts: RolloutTracker,
    private val rateLimits: ServerRateLimits,
    statements: ServerStatements,
    /** The optional decisions that are in force in this pool. */
    val features: PoolFeatures,
    random: Random,
    /** Decides which requests leave the failure domain where [features] call for it. */
    private val domainSpillover: DomainSpillover,
    domainRules: DomainRules,
    /** Size in tokens of the cache of each server, if known. */
    cacheTokens: () -> Long? = { null },
) {
    private val records = LinkedHashMap<String, ServerRecord>()
    private var servedMillis = Long.MIN_VALUE / 2
    private val model = FirstEventModel()
    private val affinity = PrefixAffinity()
    private val averages = PoolAverages(records.values)
    private val ejections = EjectionComparison(records.values, averages)
    private val capacity =
        ServerCapacity(rateLimits, statements, ejections, domainRules.evacuations)
    private val sampler = CandidateSampler(random)

    /** The loads that the servers state. */
    val statedLoads = PoolStatedLoads(records, features)

    /** How long requests take. */
    val times = ServerTimes(model, averages, statedLoads, rateLimits.cold)

    /** Which servers may get a request. */
    val availability =
        ServerAvailability(records.values, rollouts, capacity, ejections, domainRules, times)

    /** Which requests leave the failure domain. */
    val spillover = PoolSpillover(domainSpillover, features, records.values, availability, times)
    private val estimator = ServerEstimator(model, ejections, times::expectedHoldMillis)

    /** Which servers hold which prompts, and the choice by it. */
    val promptMatching = PromptMatching(features, sampler, estimator, model)

    /** Assigns requests to the servers. */
    val placer =
        RequestPlacer(
            records.values,
            capacity,
            ServerChooser(affinity, sampler, estimator),
            promptMatching,
            spillover,
            cacheTokens,
        )

    val service: String
        get() = domainSpillover.service

    /** Called when a server that was in use is ejected. */
    var onEjection: (ServerEjection) -> Unit = {}

    /** Slot time that less urgent requests are guaranteed. */
    val minimumShare = MinimumShare(times::meanHoldMillis)

    /** Slot time that each workspace took while requests were waiting. */
    val accounts = WorkspaceAccounts(minimumShare::holdMillis)

    fun record(serverId: String): ServerRecord? = records[serverId]

    fun update(entries: List<ServerEntry>) {
        val listed = entries.associateBy { it.id }
        // Records with requests in flight are kept until those end.
        records.values.removeIf { it.entry.id !in listed && it.inFlight == 0 }
        records.values.forEach { record ->
            if (record.entry.id !in listed) record.entry = record.entry.copy(acceptsWork = false)
        }
        entries.forEach { entry ->
            val record = records.getOrPut(entry.id) { ServerRecord(entry) }
            if (record.entry.startedMillis != entry.startedMillis) record.reset()
            record.entry = entry
        }
        averages.onChange()
    }

    fun inFlightIn(failureDomain: String): Int =
        records.values.sumOf { if (it.entry.failureDomain == failureDomain) it.inFlight else 0 }

    fun usage(): List<Pair<String, ServerUse>> =
        records.values
            .filter { it.inFlight > 0 }
            .map { it.entry.id to ServerUse(it.inFlight, it.pendingTokens) }

    fun onStarted(
        serverId: String,
        request: DispatchRequest,
        uncachedTokens: Double,
        nowMillis: Long,
    ) {
        val record = records[serverId] ?: return
        spillover.inForce?.onSent(request, record.entry.failureDomain)
        record.sentParts.add(request.promptParts, nowMillis)
        affinity.onSent(request.promptParts)
        promptMatching.onSent(request, record, nowMillis)
        if (record.inFlight == 0) record.onActivity(nowMillis)
        rateLimits.onSent(record.entry.run, nowMillis)
        record.inFlight++
        record.pendingTokens += uncachedTokens
        minimumShare.onStarted(request.priority)
    }

    /**
     * Records that a response of [run] states [load]. Nothing uses it until a server of the pool
     * has stated its work time, so that other pools do not count the use of the server for it.
     */
    fun onStatedLoad(run: ServerRun, load: StatedLoad, peers: PeerLoads, nowMillis: Long) {
        if (load.workTimeFactor == null && !features.isWorkTimeStated) return
        val peerUse = peers.at(nowMillis, times.meanHoldMillis()).useOf(run.serverId)
        statedLoads.onStated(run, load, peerUse.inFlight, nowMillis)
    }

    fun onFinished(attempt: FinishedAttempt, nowMillis: Long) {
        val outcome = attempt.outcome
        if (outcome is ServerOutcome.Answered) {
            minimumShare.onFinished(attempt.priority, outcome.holdMillis)
            accounts.onFinished(attempt.priority, attempt.workspace.orEmpty(), outcome.holdMillis)
        }
        val record = records[attempt.server.id] ?: return
        record.inFlight = (record.inFlight - 1).coerceAtLeast(0)
        if (outcome is ServerOutcome.Answered) record.onActivity(nowMillis)
        val pendingTokens = if (attempt.isPromptPending) attempt.promptTokens else 0.0
        record.pendingTokens = (record.pendingTokens - pendingTokens).coerceAtLeast(0.0)
        if (outcome is ServerOutcome.Full || outcome is ServerOutcome.Unreachable) {
            promptMatching.onNotRun(attempt.promptParts, record)
        }
        val wasEjected = record.isHalfOpen
        val work = statedLoads.workTimeOf(record, outcome, attempt.sentMillis)
        if (isColdDuring(attempt)) observeCold(record, outcome, work, nowMillis)
        else statedLoads.checked(record) { record.observe(outcome, model, nowMillis, work) }
        averages.onChange()
        if (record.isHalfOpen && !wasEjected) onEjection(ejections.describe(record))
    }

    /** Returns true if the server of [attempt] was cold at any time of it. */
    fun isColdDuring(attempt: FinishedAttempt): Boolean =
        rateLimits.cold.wasColdSince(attempt.server.run, attempt.sentMillis)

    private fun observeCold(
        record: ServerRecord,
        outcome: ServerOutcome,
        work: ObservedWork,
        nowMillis: Long,
    ) {
        record.observeCold(outcome, model, nowMillis)
        if (outcome !is ServerOutcome.Answered) return
        val warmMillis = record.latencyFactor * model.predictMillis(outcome.promptTokens)
        rateLimits.cold.onObserved(
            record.entry.run,
            outcome.firstEventMillis / (warmMillis * work.firstEventFactor),
        )
    }

    /** Records a pass over the queue of the pool. */
    fun onServed(nowMillis: Long) {
        servedMillis = nowMillis
    }

    /**
     * Returns true if another pass may wait, since the last one was just before and a slot that has
     * become free since then is idle for a small part of the time that requests use it.
     */
    fun wasJustServed(nowMillis: Long): Boolean {
        val holdMillis = averages.knownHoldMillis ?: return false
        return holdMillis >= MIN_HOLD_TO_PAUSE_MILLIS && nowMillis - servedMillis < PAUSE_MILLIS
    }

    /** Begins a pass over the queue of the pool. */
    fun startRound(peers: PeerLoads, failureDomain: String, nowMillis: Long): PlacementRound {
        val queueDomain = failureDomain.takeIf { features.hasDomainSpillover }
        val loads = peers.at(nowMillis, times.meanHoldMillis(), queueDomain)
        return PlacementRound(
            loads,
            failureDomain,
            nowMillis,
            eligibleServers = { availability.eligible(it, nowMillis) },
            loadOf = { loadOf(it, loads, nowMillis) },
            slotInterval = { spillover.slotIntervalMillis(it, nowMillis) },
            spillover = spillover.inForce,
        )
    }

    private fun loadOf(
        record: ServerRecord,
        loads: PeerLoads.Current,
        nowMillis: Long,
    ): ServerLoad {
        val peerUse = loads.useOf(record.entry.id)
        return ServerLoad(
            record,
            peerUse,
            capacity.usableSlots(record, nowMillis),
            times.workFactor(record, record.latencyFactor * model.baseMillis, nowMillis),
            statedLoads.unreportedRequests(record, peerUse.inFlight, nowMillis),
            limitWait = { capacity.limitWaitMillis(record, loads.peerCount, nowMillis) },
        )
    }

    private companion object {
        /**
         * Pause between passes of a pool whose requests take [MIN_HOLD_TO_PAUSE_MILLIS] or more.
         */
        const val PAUSE_MILLIS = 10L
        const val MIN_HOLD_TO_PAUSE_MILLIS = 500.0
    }
}
