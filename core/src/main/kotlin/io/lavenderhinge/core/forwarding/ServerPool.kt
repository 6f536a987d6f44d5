package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

/** The result of placing a request. */
internal sealed interface Placement {
    class Send(
        val server: ServerEntry,
        val expectedMillis: Double,
        /** Prompt tokens that are not expected in the cache of the server. */
        val uncachedTokens: Double,
        /** The values that led to the decision, for the log. */
        val inputs: String,
    ) : Placement

    data object Wait : Placement

    data object NoServer : Placement
}

/** The backend servers of one service and their statistics. */
internal class ServerPool(
    private val rollouts: RolloutTracker,
    private val rateLimits: ServerRateLimits,
    statements: ServerStatements,
    /** The optional decisions that are in force in this pool. */
    val features: PoolFeatures,
    random: Random,
    /** Decides which requests leave the failure domain where [features] call for it. */
    private val spillover: DomainSpillover,
    private val domainRules: DomainRules,
    /** Size in tokens of the cache of each server, if known. */
    private val cacheTokens: () -> Long? = { null },
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
    private val estimator = ServerEstimator(model, ejections, ::expectedHoldMillis)
    private val chooser = ServerChooser(affinity, sampler, estimator)

    /** Which servers hold which prompts, and the choice by it. */
    val promptMatching = PromptMatching(features, sampler, estimator, model)

    /** The loads that the servers state. */
    val statedLoads = PoolStatedLoads(records, features)

    val service: String
        get() = spillover.service

    /** Called when a server that was in use is ejected. */
    var onEjection: (ServerEjection) -> Unit = {}

    /** Slot time that less urgent requests are guaranteed. */
    val minimumShare = MinimumShare(::meanHoldMillis)

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
        spilloverInForce?.onSent(request, record.entry.failureDomain)
        record.sentParts.add(request.promptParts, nowMillis)
        affinity.onSent(request.promptParts)
        promptMatching.onSent(request, record, nowMillis)
        if (record.inFlight == 0) record.onActivity(nowMillis)
        rateLimits.onSent(record.entry.run, nowMillis)
        record.inFlight++
        record.pendingTokens += uncachedTokens
        minimumShare.onStarted(request.priority)
    }

    /** Records that a response of [run] states [load]. */
    fun onStatedLoad(run: ServerRun, load: StatedLoad, peers: PeerLoads, nowMillis: Long) {
        val peerUse = peers.at(nowMillis, meanHoldMillis()).useOf(run.serverId)
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

    /** Returns the expected time of work at the server, relative to that when it is usual. */
    private fun workFactor(record: ServerRecord, durationMillis: Double, nowMillis: Long): Double =
        statedLoads.factor(record, durationMillis, nowMillis) *
            rateLimits.cold.latencyFactor(record.entry.run, nowMillis)

    /**
     * Returns the servers that may get [request]. If all of them are ejected or silent, they are
     * used anyway, because it is unlikely that every server of a pool has failed.
     */
    private fun eligibleServers(request: DispatchRequest, nowMillis: Long): List<ServerRecord> {
        val accessible =
            capacity.accessible(domainRules.untried(records.values, request), nowMillis)
        val accepting = rollouts.select(accessible, request)
        return accepting
            .filterNot { isClosed(it, nowMillis) || isSilent(it, nowMillis) }
            .ifEmpty { accepting }
    }

    /**
     * Returns when the first server takes requests again, if all that may get [request] want a
     * pause; otherwise null.
     */
    fun reopenMillis(request: DispatchRequest, nowMillis: Long): Long? =
        capacity.reopenMillis(domainRules.accepting(records.values, request), nowMillis)

    /** Returns the refusal of [request] if rules for failure domains leave no server for it. */
    fun domainRefusal(request: DispatchRequest, nowMillis: Long): DispatchEffect.Refuse? =
        domainRules.refusal(records.values, request, nowMillis)

    private fun isClosed(record: ServerRecord, nowMillis: Long): Boolean =
        record.isFull(nowMillis) || record.isBackingOff(nowMillis) && ejections.isInForce(record)

    private fun isSilent(record: ServerRecord, nowMillis: Long): Boolean {
        val expectedMillis = record.latencyFactor * model.predictMillis(record.pendingTokens)
        val factor = workFactor(record, durationMillis = 0.0, nowMillis).coerceAtLeast(1.0)
        return record.isSilent(
            factor * maxOf(MIN_SILENCE_MILLIS, SILENCE_FACTOR * expectedMillis),
            nowMillis,
        )
    }

    /** Returns the mean time between two slots becoming free in the pool. */
    private fun slotIntervalMillis(request: DispatchRequest, nowMillis: Long): Double {
        val open =
            rollouts
                .select(
                    capacity.accessible(domainRules.accepting(records.values, request), nowMillis),
                    request,
                )
                .filterNot { isClosed(it, nowMillis) }
        val near = spilloverInForce?.let { open.filter(it::isHome) }.orEmpty()
        val slotsPerMillis =
            near
                .ifEmpty { open }
                .sumOf { capacity.slotsPerMillis(it, expectedHoldMillis(it, nowMillis), nowMillis) }
        if (slotsPerMillis <= 0) return MIN_HOLD_MILLIS
        return (if (near.isEmpty()) 1.0 else spillover.stayingFraction) / slotsPerMillis
    }

    private val spilloverInForce: DomainSpillover?
        get() = spillover.takeIf { features.hasDomainSpillover }

    /** Adapts the share of the requests that leave the failure domain to [demands]. */
    fun updateSpillover(demands: DomainDemands, waiting: Int, nowMillis: Long) {
        if (!features.hasDomainSpillover || !spillover.isDue(nowMillis)) return
        val open =
            capacity
                .accessible(records.values.filter { it.entry.acceptsWork }, nowMillis)
                .filterNot { isClosed(it, nowMillis) || isSilent(it, nowMillis) }
        val slots =
            open.groupBy { it.entry.failureDomain }.mapValues { slotsOf(it.value, nowMillis) }
        val running = records.values.sumOf { it.inFlight }
        val byDomain = demands.of(spillover.service, meanHoldMillis(), nowMillis)
        val runningAtHome = records.values.filter(spillover::isHome).sumOf { it.inFlight }
        spillover.update(slots, byDomain, running, runningAtHome, waiting, nowMillis)
    }

    private fun slotsOf(servers: List<ServerRecord>, nowMillis: Long) =
        DomainSlots(
            servers.sumOf { capacity.usableSlots(it, nowMillis) },
            servers.sumOf {
                capacity.slotsPerMillis(it, expectedHoldMillis(it, nowMillis), nowMillis)
            },
        )

    /** Records that a request has arrived and is not refused at once. */
    fun onArrived() = spillover.onArrived()

    /** Returns the state of the failure domain for the peers; null if spillover is not in force. */
    fun domainLoad(): DomainLoadReport? = spilloverInForce?.report()

    /**
     * Returns the expected time from the send of [request] to its first event. The model is fitted
     * to latencies that are divided by the servers' factors, so their mean may differ from 1.
     */
    fun firstEventMillis(request: DispatchRequest): Double =
        averages.latencyFactor * model.predictMillis(request.promptTokens)

    /** True if a request of this instance has ended, so that predictions rest on experience. */
    val isHoldKnown: Boolean
        get() = averages.knownHoldMillis != null

    /** Returns how long a request occupies its slot, on average over the servers. */
    fun meanHoldMillis(): Double =
        averages.knownHoldMillis?.coerceAtLeast(MIN_HOLD_MILLIS) ?: DEFAULT_HOLD_MILLIS

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
        val loads = peers.at(nowMillis, meanHoldMillis(), queueDomain)
        return PlacementRound(
            loads,
            failureDomain,
            nowMillis,
            eligibleServers = { eligibleServers(it, nowMillis) },
            loadOf = { loadOf(it, loads, nowMillis) },
            slotInterval = { slotIntervalMillis(it, nowMillis) },
            spillover = spilloverInForce,
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
            workFactor(record, record.latencyFactor * model.baseMillis, nowMillis),
            statedLoads.unreportedRequests(record, peerUse.inFlight, nowMillis),
            limitWait = { capacity.limitWaitMillis(record, loads.peerCount, nowMillis) },
        )
    }

    /**
     * Assigns [request] to a server, or reserves the slot that it waits for in [round].
     * [aheadAtPeers] requests of other instances take precedence over it.
     */
    fun place(request: DispatchRequest, aheadAtPeers: Int, round: PlacementRound): Placement {
        val eligible = round.eligible(request)
        if (eligible.loads.isEmpty()) return Placement.NoServer
        leave(eligible, request, round)?.let {
            return it
        }
        // No request of the queue can be sent, so nothing has to be reserved.
        if (round.isFull(request)) return Placement.Wait
        val freeSlots = eligible.loads.sumOf { it.freeSlots.coerceAtLeast(0) }
        val best = best(eligible, request, round)
        val ahead = promptMatching.countAhead(request, best, aheadAtPeers, round)
        if (best.load.freeSlots > 0 && freeSlots > ahead) {
            return send(
                best,
                request.promptTokens,
                eligible.loads.size,
                capacity.inaccessibleCount(records.values, round.nowMillis),
                round.peers.peerCount,
            )
        }
        // Reserves a slot, so that less urgent requests do not take the one this request waits for.
        best.load.reservedSlots++
        return Placement.Wait
    }

    private fun best(
        eligible: EligibleServers,
        request: DispatchRequest,
        round: PlacementRound,
    ): ServerEstimate {
        if (!promptMatching.concerns(request)) return chooser.best(eligible, request, round)
        promptMatching.refresh(records.values, cacheTokens(), round.nowMillis)
        return promptMatching.best(eligible, request, round)
    }

    // Sends the request to another failure domain if it may leave and gains enough by it.
    private fun leave(
        eligible: EligibleServers,
        request: DispatchRequest,
        round: PlacementRound,
    ): Placement.Send? {
        val away = eligible.away ?: return null
        if (!round.tryLeaving(away)) return null
        val best = best(away, request, round)
        if (best.load.freeSlots <= 0) return null
        val homeMillis = best(eligible, request, round).expectedMillis
        if (!spillover.isWorthLeaving(request, homeMillis, best.expectedMillis)) return null
        spillover.onLeft()
        return send(
            best,
            request.promptTokens,
            away.loads.size,
            capacity.inaccessibleCount(records.values, round.nowMillis),
            round.peers.peerCount,
        )
    }

    private fun send(
        best: ServerEstimate,
        promptTokens: Double,
        eligibleCount: Int,
        inaccessibleCount: Int,
        peerCount: Int,
    ) =
        Placement.Send(
            best.load.record.entry,
            best.expectedMillis,
            best.uncachedTokens,
            "expected ${best.expectedMillis.toInt()} ms, ${best.load.freeSlots} slots free, " +
                "$eligibleCount servers, $peerCount peers" +
                describePrompt(promptTokens, best.uncachedTokens) +
                if (inaccessibleCount == 0) "" else ", $inaccessibleCount leaving or pausing",
        )

    private fun describePrompt(promptTokens: Double, uncachedTokens: Double): String =
        if (promptTokens <= 0) ""
        else ", ${(promptTokens - uncachedTokens).toInt()} of ${promptTokens.toInt()} tokens cached"

    // A server without samples is assumed to be average. With a shorter default, requests would
    // wait for it while other servers are free.
    private fun expectedHoldMillis(record: ServerRecord, nowMillis: Long): Double {
        if (record.holdMillis <= 0) return meanHoldMillis()
        val factor = workFactor(record, record.holdMillis, nowMillis)
        return (record.holdMillis * factor).coerceAtLeast(MIN_HOLD_MILLIS)
    }

    private companion object {
        /**
         * Pause between passes of a pool whose requests take [MIN_HOLD_TO_PAUSE_MILLIS] or more.
         */
        const val PAUSE_MILLIS = 10L
        const val MIN_HOLD_TO_PAUSE_MILLIS = 500.0
        const val MIN_HOLD_MILLIS = 20.0
        /**
         * Long enough that a free server is preferred to a busy one before any request has ended.
         */
        const val DEFAULT_HOLD_MILLIS = 1_000.0
        /** Several times the interval between two events of a server at full load. */
        const val MIN_SILENCE_MILLIS = 350.0
        const val SILENCE_FACTOR = 4.0
    }
}
