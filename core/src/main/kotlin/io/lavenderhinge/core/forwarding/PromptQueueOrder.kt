package io.lavenderhinge.core.forwarding

/**
 * Orders queued requests so that a slot that becomes free takes one whose prompt its server holds.
 * It addresses load of 1.5 to 3 times the capacity, in which reading prompts again takes most of
 * the slot time.
 */
internal class PromptQueueOrder(private val holders: PromptHolders) {
    /**
     * Returns [queue] with neighbours of equal [rank] in a new order: first those that have waited
     * for long enough, then those of whose prompts the servers with free slots hold the most.
     */
    fun ordered(
        queue: List<DispatchRequest>,
        round: PlacementRound,
        rank: (DispatchRequest) -> QueueRank,
    ): List<DispatchRequest> {
        if (queue.size < 2) return queue
        val free = round.eligible(queue.first()).loads.filter { it.freeSlots > 0 }
        // If each request gets a slot, each chooses its server anyway.
        if (free.isEmpty() || free.sumOf { it.freeSlots } >= queue.size) return queue
        val servers = free.take(MAX_FREE_SERVERS).map { it.record }
        return runs(queue, rank).flatMap { run ->
            val precedence = run.associateWith { precedence(it, servers, round.nowMillis) }
            run.sortedByDescending { precedence.getValue(it) }
        }
    }

    /** Returns [queue] in pieces of neighbours of equal [rank]. */
    private fun runs(
        queue: List<DispatchRequest>,
        rank: (DispatchRequest) -> QueueRank,
    ): List<List<DispatchRequest>> {
        val runs = mutableListOf<MutableList<DispatchRequest>>()
        var last: QueueRank? = null
        queue.forEach { request ->
            val current = rank(request)
            if (current != last) runs += mutableListOf<DispatchRequest>()
            runs.last() += request
            last = current
        }
        return runs
    }

    private fun precedence(
        request: DispatchRequest,
        servers: List<ServerRecord>,
        nowMillis: Long,
    ): Int {
        if (!PromptWait.isAllowed(request, nowMillis)) return Int.MAX_VALUE
        val chain = request.promptChain
        return servers.maxOf { chain.tokensOfFirst(holders.heldParts(chain, it, nowMillis)) }
    }

    private companion object {
        /** Under a queue, few slots are free at a time. */
        const val MAX_FREE_SERVERS = 4
    }
}
