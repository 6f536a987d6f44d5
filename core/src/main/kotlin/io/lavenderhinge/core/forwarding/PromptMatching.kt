package io.lavenderhinge.core.forwarding

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
    private val sampler: CandidateSampler,
    private val estimator: ServerEstimator,
    private val model: FirstEventModel,
) {
    private val holders = PromptHolders()
    private val demand = PromptDemand()
    private val speeds = SpeedClasses()
    private val places = PromptPlaces(demand, speeds)
    private var refreshedMillis = Long.MIN_VALUE / 2

    /** Records that [request] was sent to [record]. */
    fun onSent(request: DispatchRequest, record: ServerRecord, nowMillis: Long) {
        val chain = request.promptChain
        if (chain.size == 0) return
        val isLastKnown = holders.holders(chain, chain.size, nowMillis).isNotEmpty()
        demand.onSent(chain, isLastKnown, nowMillis)
        holders.onSent(chain, record, nowMillis)
    }

    /** Records what a peer has sent to [record]. */
    fun onReported(report: PromptHolderReport, record: ServerRecord, nowMillis: Long) =
        holders.onReported(report.part, record, report.ageMillis, nowMillis)

    /** Returns what this instance has sent lately. */
    fun reports(nowMillis: Long): List<PromptHolderReport> = holders.reports(nowMillis)

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
        val chain = request.promptChain
        val nowMillis = round.nowMillis
        val ranked = rankedPlaces(chain, eligible, nowMillis)
        val sampled =
            sampler.candidates(
                eligible.loads,
                preferred = emptyList(),
                round.failureDomain,
                round.peers.peerCount,
            )
        val preferred = ranked + holdersOf(chain, nowMillis)
        val candidates = sampled + preferred.mapNotNull { eligible.loadOf(it) }
        return candidates
            .distinct()
            .map { it to estimate(it, request, round) }
            .minBy { (load, estimate) ->
                estimate.expectedMillis - placeBonusMillis(load.record, ranked, chain, nowMillis)
            }
            .second
    }

    // Clients that share a prompt mostly stay in one failure domain.
    private fun rankedPlaces(
        chain: PromptChain,
        eligible: EligibleServers,
        nowMillis: Long,
    ): List<ServerRecord> {
        val count = sharedCount(chain, nowMillis)
        if (count == 0) return emptyList()
        return places.ranked(chain, count, eligible.near, eligible.nearHash, nowMillis)
    }

    private fun sharedCount(chain: PromptChain, nowMillis: Long): Int {
        val isLastShared =
            demand.isLastRecurring(chain) ||
                holders.holders(chain, chain.size, nowMillis).isNotEmpty()
        return if (isLastShared) chain.size else chain.size - 1
    }

    /** Returns the holders of as much of the prompt as possible, and then of less of it. */
    private fun holdersOf(chain: PromptChain, nowMillis: Long): List<ServerRecord> {
        val found = LinkedHashSet<ServerRecord>()
        for (count in chain.size downTo 1) {
            found += holders.holders(chain, count, nowMillis)
            if (found.size >= ENOUGH_HOLDERS) break
        }
        return found.toList()
    }

    private fun estimate(
        load: ServerLoad,
        request: DispatchRequest,
        round: PlacementRound,
    ): ServerEstimate {
        val chain = request.promptChain
        val heldParts = holders.heldParts(chain, load.record, round.nowMillis)
        val uncachedTokens =
            (request.promptTokens - chain.tokensOfFirst(heldParts)).coerceAtLeast(0.0)
        return estimator.estimate(
            load,
            request,
            uncachedTokens,
            round.failureDomain,
            round.nowMillis,
        )
    }

    /**
     * Returns how much time the next requests with [chain] are expected to save if the first one
     * goes to the place that all instances know.
     */
    private fun placeBonusMillis(
        record: ServerRecord,
        ranked: List<ServerRecord>,
        chain: PromptChain,
        nowMillis: Long,
    ): Double {
        val rank = ranked.indexOf(record)
        if (rank < 0) return 0.0
        val heldTokens = chain.tokensOfFirst(holders.heldParts(chain, record, nowMillis))
        val newTokens = chain.tokensOfFirst(sharedCount(chain, nowMillis)) - heldTokens
        return PLACE_FRACTION / (1 + rank) * model.millisPerToken * newTokens.coerceAtLeast(0)
    }

    private companion object {
        const val REFRESH_MILLIS = 500L
        /** More holders are compared only if these hold less of the prompt. */
        const val ENOUGH_HOLDERS = 4
        /** The part of the time to read a prompt that a request gives up for its place. */
        const val PLACE_FRACTION = 0.5
    }
}
