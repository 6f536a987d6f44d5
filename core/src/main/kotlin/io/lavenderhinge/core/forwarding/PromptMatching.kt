package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap

/**
 * Chooses servers so that prompts are read again as rarely as possible, for load whose prompts
 * recur at any instance: about 1,300 subjects over tens of instances, of which each sees one
 * subject rarely.
 *
 * Servers that hold the prompt, by [holders], and the places on which instances agree for a prompt
 * that no server holds yet, by [places], are compared with those that would be compared anyway. The
 * comparison weighs the time to read what a server does not hold against its speed and queue, so
 * that a full or slow holder loses to another server.
 */
internal class PromptMatching(
    private val features: PoolFeatures,
    private val sampler: CandidateSampler,
    private val estimator: ServerEstimator,
    private val model: FirstEventModel,
) {
    private class Candidate(val estimate: ServerEstimate, val scoreMillis: Double)

    /** The servers that a queued request prefers, until [endMillis]. */
    private class Preferred(
        val ranked: PromptPlaces.Ranking,
        val holders: Set<ServerRecord>,
        val endMillis: Long,
    )

    private val preferred = LruMap<Long, Preferred>(MAX_PREFERRED)
    private val holders = PromptHolders()
    private val demand = PromptDemand()
    private val speeds = SpeedClasses()
    private val places = PromptPlaces(demand, speeds)
    private val queueOrder = PromptQueueOrder(holders)
    private var refreshedMillis = Long.MIN_VALUE / 2

    /** Records that [request] was sent to [record]. */
    fun onSent(request: DispatchRequest, record: ServerRecord, nowMillis: Long) {
        if (!concerns(request)) return
        val chain = request.promptChain
        val isLastKnown = holders.holders(chain, chain.size, nowMillis).isNotEmpty()
        demand.onSent(chain, isLastKnown, nowMillis)
        holders.onSent(chain, record, nowMillis)
    }

    /** Records that [record] has not run a request with [parts]. */
    fun onNotRun(parts: List<PromptPart>, record: ServerRecord) =
        holders.onNotRun(PromptChain(parts), record)

    /** Records the [reports] of a peer about servers for which [recordOf] returns a record. */
    fun onReported(
        reports: List<PromptHolderReport>,
        recordOf: (serverId: String) -> ServerRecord?,
        nowMillis: Long,
    ) {
        if (!features.hasPromptMatching) return
        reports.forEach { report ->
            val record = recordOf(report.serverId) ?: return@forEach
            holders.onReported(report.part, record, report.ageMillis, nowMillis)
        }
    }

    /** Returns what this instance has sent lately. */
    fun reports(nowMillis: Long): List<PromptHolderReport> =
        if (features.hasPromptMatching) holders.reports(nowMillis) else emptyList()

    /** Returns true if the server of [request] is chosen by its prompt. */
    fun concerns(request: DispatchRequest): Boolean =
        features.hasPromptMatching && request.promptParts.isNotEmpty()

    /**
     * Compares the speeds of [records] from time to time; each server has a cache of [cacheTokens],
     * if known.
     */
    fun refresh(records: Collection<ServerRecord>, cacheTokens: Long?, nowMillis: Long) {
        if (nowMillis - refreshedMillis < REFRESH_MILLIS) return
        refreshedMillis = nowMillis
        holders.limits = PromptCacheLimits.of(cacheTokens, records.size)
        if (speeds.update(records)) places.onSpeedsChanged()
    }

    /** Returns the best of the [eligible] servers for [request]; there must be one. */
    fun best(
        eligible: EligibleServers,
        request: DispatchRequest,
        round: PlacementRound,
    ): ServerEstimate {
        val nowMillis = round.nowMillis
        val preferred = preferredServers(request, eligible, nowMillis)
        val ranked = preferred.ranked
        val sampled =
            sampler.candidates(
                eligible.loads,
                preferred = emptyList(),
                round.failureDomain,
                round.peers.peerCount,
            )
        val candidates = LinkedHashSet(bounded(sampled, request))
        ranked.servers.mapNotNullTo(candidates) { eligible.loadOf(it) }
        preferred.holders.mapNotNullTo(candidates) { eligible.loadOf(it) }
        return allowed(candidates, request, nowMillis)
            .map { candidate(it, request, ranked, round) }
            .minBy { it.scoreMillis }
            .estimate
    }

    // A queue is passed many times a second, so that each request keeps its choice for a moment.
    private fun preferredServers(
        request: DispatchRequest,
        eligible: EligibleServers,
        nowMillis: Long,
    ): Preferred {
        val known = preferred[request.id]
        if (known != null && nowMillis < known.endMillis) return known
        val chain = request.promptChain
        return Preferred(
                rankedPlaces(chain, eligible, nowMillis),
                holdersOf(chain, nowMillis),
                nowMillis + PREFERRED_MILLIS,
            )
            .also { preferred[request.id] = it }
    }

    // Where few servers are free, the sample consists of all servers. A busy one that is neither a
    // place nor a holder is seldom the best, so that a part of these is enough. The choice depends
    // on the request alone, because it waits for the server that it has chosen.
    private fun bounded(sampled: List<ServerLoad>, request: DispatchRequest): List<ServerLoad> {
        if (sampled.size <= MAX_SAMPLE) return sampled
        val (free, busy) = sampled.partition { it.freeSlots > 0 }
        val step = (busy.size / MAX_SAMPLED_BUSY).coerceAtLeast(1)
        val first = (request.id % step).toInt()
        return free + (first until busy.size step step).map { busy[it] }
    }

    private fun candidate(
        load: ServerLoad,
        request: DispatchRequest,
        ranked: PromptPlaces.Ranking,
        round: PlacementRound,
    ): Candidate {
        val chain = request.promptChain
        val heldParts = holders.heldParts(chain, load.record, round.nowMillis)
        val heldTokens = chain.tokensOfFirst(heldParts)
        val uncachedTokens = (request.promptTokens - heldTokens).coerceAtLeast(0.0)
        val estimate =
            estimator.estimate(load, request, uncachedTokens, round.failureDomain, round.nowMillis)
        val scoreMillis =
            estimate.expectedMillis + rereadMillis(load.record, uncachedTokens) -
                placeBonusMillis(load.record, ranked, chain, heldTokens)
        return Candidate(estimate, scoreMillis)
    }

    /** Returns the time that other requests lose while [record] reads [tokens]. */
    private fun rereadMillis(record: ServerRecord, tokens: Double) =
        REREAD_FRACTION * record.latencyFactor * model.millisPerToken * tokens

    // Once a request has waited for long enough, it takes one of the servers that are free.
    private fun allowed(
        candidates: Collection<ServerLoad>,
        request: DispatchRequest,
        nowMillis: Long,
    ): Collection<ServerLoad> {
        if (PromptWait.isAllowed(request, nowMillis)) return candidates
        return candidates.filter { it.freeSlots > 0 }.ifEmpty { candidates }
    }

    /**
     * Returns how many requests at peers take precedence over [request], of the [aheadAtPeers] that
     * do without regard to prompts. A slot goes to a request whose prompt the server of [best]
     * holds, although one at a peer that still has time waits for longer.
     */
    fun countAhead(
        request: DispatchRequest,
        best: ServerEstimate,
        aheadAtPeers: Int,
        round: PlacementRound,
    ): Int {
        val isMatch =
            concerns(request) &&
                PromptWait.isAllowed(request, round.nowMillis) &&
                best.uncachedTokens <= request.promptTokens * MAX_UNCACHED_FRACTION
        if (!isMatch) return aheadAtPeers
        val minHeadWaitMillis = PromptWait.maxMillis(request)
        return minOf(
            aheadAtPeers,
            round.peers.countAhead(request, isLate = false, round.shares, minHeadWaitMillis),
        )
    }

    /**
     * Returns [queue], which is in the order of precedence, with neighbours of equal [rank] in the
     * order in which the servers with free slots hold their prompts.
     */
    fun ordered(
        queue: List<DispatchRequest>,
        round: PlacementRound,
        rank: (DispatchRequest) -> QueueRank,
    ): List<DispatchRequest> =
        if (features.hasPromptMatching) queueOrder.ordered(queue, round, rank) else queue

    // Clients that share a prompt mostly stay in one failure domain.
    private fun rankedPlaces(
        chain: PromptChain,
        eligible: EligibleServers,
        nowMillis: Long,
    ): PromptPlaces.Ranking {
        val count = sharedCount(chain, nowMillis)
        if (count == 0) return PromptPlaces.Ranking.NONE
        return places.ranked(chain, count, eligible.near, eligible.nearHash, nowMillis)
    }

    private fun sharedCount(chain: PromptChain, nowMillis: Long): Int {
        val isLastShared =
            demand.isLastRecurring(chain) ||
                holders.holders(chain, chain.size, nowMillis).isNotEmpty()
        return if (isLastShared) chain.size else chain.size - 1
    }

    /**
     * Returns the last holders of as much of the prompt as possible, and then of less of it. Parts
     * at its beginning that are short have many holders, but save little.
     */
    private fun holdersOf(chain: PromptChain, nowMillis: Long): Set<ServerRecord> {
        val found = LinkedHashSet<ServerRecord>()
        val minTokens = chain.tokensOfFirst(chain.size) * MIN_HELD_FRACTION
        for (count in chain.size downTo 1) {
            if (chain.tokensOfFirst(count) < minTokens || found.size >= ENOUGH_HOLDERS) break
            found += holders.holders(chain, count, nowMillis).takeLast(MAX_HOLDERS)
        }
        return found
    }

    /**
     * Returns how much time the next requests with [chain] are expected to save if this one goes to
     * a place that all instances know. Among servers that hold the prompt already, those places are
     * preferred a little, so that the prompt leaves the others when its demand falls.
     */
    private fun placeBonusMillis(
        record: ServerRecord,
        ranked: PromptPlaces.Ranking,
        chain: PromptChain,
        heldTokens: Int,
    ): Double {
        val rank = ranked.servers.indexOf(record)
        if (rank < 0) return 0.0
        val rankFraction = if (rank < ranked.wanted) 1.0 else 1.0 / (2 + rank - ranked.wanted)
        val sharedTokens = chain.tokensOfFirst(ranked.parts)
        val newTokens = (sharedTokens - heldTokens).coerceAtLeast(0)
        val savedTokens =
            PLACE_FRACTION * newTokens + HELD_FRACTION * minOf(heldTokens, sharedTokens)
        return rankFraction * model.millisPerToken * savedTokens
    }

    private companion object {
        /** A server that holds less than half of a prompt has as much to read as others. */
        const val MAX_UNCACHED_FRACTION = 0.5
        const val MAX_PREFERRED = 512
        /** About the interval between two reports of a peer. */
        const val PREFERRED_MILLIS = 50L
        const val REFRESH_MILLIS = 500L
        /** More holders are compared only if these hold less of the prompt. */
        const val ENOUGH_HOLDERS = 4
        /** About as many servers as the sample of a fleet in which many are free. */
        const val MAX_SAMPLE = 8
        const val MAX_SAMPLED_BUSY = 4
        /** Bounds the cost of a decision for a prompt that many servers hold. */
        const val MAX_HOLDERS = 6
        const val MIN_HELD_FRACTION = 0.5
        /** The part of the time to read a prompt that a request gives up for its place. */
        const val PLACE_FRACTION = 1.0
        /** Small, so that it decides between servers that are otherwise alike. */
        const val HELD_FRACTION = 0.1
        /**
         * Reading a prompt delays the other requests of the server and those behind it. In
         * simulations at twice the capacity, 1 read up to twice as many tokens again as 4, and 8
         * made slightly more callers late at 0.6 of the capacity.
         */
        const val REREAD_FRACTION = 5.0
    }
}
