package io.lavenderhinge.core.forwarding

/** Chooses the server from which a request can expect its first event soonest. */
internal class ServerChooser(
    private val affinity: PrefixAffinity,
    private val sampler: CandidateSampler,
    private val estimator: ServerEstimator,
) {
    /** Returns the best of the [eligible] servers for [request]; there must be one. */
    fun best(
        eligible: EligibleServers,
        request: DispatchRequest,
        round: PlacementRound,
    ): ServerEstimate {
        // Clients that share a prompt mostly stay in one failure domain.
        val preference = affinity.preference(request.promptParts, eligible.near)
        val candidates =
            sampler.candidates(
                eligible.loads,
                preference?.serverIds.orEmpty(),
                round.failureDomain,
                round.peers.peerCount,
            )
        return candidates
            .map { estimate(it, request, preference, round) }
            .minBy { it.expectedMillis }
    }

    private fun estimate(
        load: ServerLoad,
        request: DispatchRequest,
        preference: PrefixAffinity.Preference?,
        round: PlacementRound,
    ): ServerEstimate {
        val cachedTokens =
            affinity.cachedTokens(request.promptParts, load.record, preference, round.nowMillis)
        val uncachedTokens = (request.promptTokens - cachedTokens).coerceAtLeast(0.0)
        return estimator.estimate(
            load,
            request,
            uncachedTokens,
            round.failureDomain,
            round.nowMillis,
        )
    }
}
