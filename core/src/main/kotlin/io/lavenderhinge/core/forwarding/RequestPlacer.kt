package io.lavenderhinge.core.forwarding

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

/** Assigns the requests of one pool to its servers. */
internal class RequestPlacer(
    private val records: Collection<ServerRecord>,
    private val capacity: ServerCapacity,
    private val chooser: ServerChooser,
    private val promptMatching: PromptMatching,
    private val spillover: PoolSpillover,
    /** Size in tokens of the cache of each server, if known. */
    private val cacheTokens: () -> Long?,
) {
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
            return send(best, request, eligible.loads.size, round)
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
        promptMatching.refresh(records, cacheTokens(), round.nowMillis)
        return promptMatching.best(eligible, request, round)
    }

    // Sends the request to another failure domain if it may leave and gains enough by it.
    private fun leave(
        eligible: EligibleServers,
        request: DispatchRequest,
        round: PlacementRound,
    ): Placement.Send? {
        val away = eligible.away ?: return null
        val decision = spillover.inForce ?: return null
        if (!round.tryLeaving(away)) return null
        val best = best(away, request, round)
        if (best.load.freeSlots <= 0) return null
        val homeMillis = best(eligible, request, round).expectedMillis
        if (!decision.isWorthLeaving(request, homeMillis, best.expectedMillis)) return null
        decision.onLeft()
        return send(best, request, away.loads.size, round)
    }

    private fun send(
        best: ServerEstimate,
        request: DispatchRequest,
        eligibleCount: Int,
        round: PlacementRound,
    ): Placement.Send {
        val inaccessibleCount = capacity.inaccessibleCount(records, round.nowMillis)
        return Placement.Send(
            best.load.record.entry,
            best.expectedMillis,
            best.uncachedTokens,
            "expected ${best.expectedMillis.toInt()} ms, ${best.load.freeSlots} slots free, " +
                "$eligibleCount servers, ${round.peers.peerCount} peers" +
                describePrompt(request.promptTokens, best.uncachedTokens) +
                if (inaccessibleCount == 0) "" else ", $inaccessibleCount leaving or pausing",
        )
    }

    private fun describePrompt(promptTokens: Double, uncachedTokens: Double): String =
        if (promptTokens <= 0) ""
        else ", ${(promptTokens - uncachedTokens).toInt()} of ${promptTokens.toInt()} tokens cached"
}
