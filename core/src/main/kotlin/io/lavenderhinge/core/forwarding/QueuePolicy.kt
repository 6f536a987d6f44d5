package io.lavenderhinge.core.forwarding

/** A queue in the order in which its requests get slots: first [owed], then [others]. */
internal class QueueOrder(
    /** The first request of each less urgent priority that received less than its share. */
    val owed: List<DispatchRequest>,
    val others: List<DispatchRequest>,
)

/** Requests of equal rank may change places in a queue where they are neighbours. */
internal data class QueueRank(
    val priority: Int,
    val isLate: Boolean,
    /** False if the workspace of the request is above its fair share. */
    val isWithinShare: Boolean = true,
)

/**
 * Decides the order of queued requests and which of them are rejected, for a pool that is asked for
 * more than it can serve: bursts of a few seconds at up to three times its capacity.
 *
 * Requests that can still be on time go first, since a queue in order of arrival that is longer
 * than the target makes every request late. Those that cannot are kept only if the queue is short
 * compared to the time for which their client waits. The others are rejected at once, so that the
 * client can return after the burst instead of waiting for a response that does not come.
 */
internal class QueuePolicy(
    private val pool: ServerPool,
    private val returns: ReturnSchedule = ReturnSchedule { it },
) {
    /** Returns [request], marked if its caller was probably rejected before and waited as told. */
    fun withReturn(request: DispatchRequest): DispatchRequest =
        if (pool.features.hasPacedReturns && returns.isReturn(request))
            request.copy(isReturn = true)
        else request

    /**
     * Returns true if the first event of [request] will probably come after its target. During the
     * first half of its target time, no request is late; a long prompt would otherwise be late on
     * arrival and wait behind all shorter ones.
     */
    fun isLate(request: DispatchRequest, nowMillis: Long): Boolean {
        val neededMillis = FIRST_EVENT_MARGIN * pool.times.firstEventMillis(request)
        val halfMillis = (request.targetMillis - request.arrivedMillis) / 2.0
        return nowMillis + minOf(neededMillis, halfMillis) > request.targetMillis
    }

    /** Returns [queue] in the order in which slots are assigned. */
    fun ordered(queue: Collection<DispatchRequest>, round: PlacementRound): QueueOrder {
        val sorted = round.shares?.ordered(queue) ?: queue.sortedWith(order(round.nowMillis))
        val owed =
            sorted
                .distinctBy { it.priority }
                .drop(1)
                .filter { pool.minimumShare.isOwed(it.priority) }
        return QueueOrder(owed, if (owed.isEmpty()) sorted else sorted - owed.toSet())
    }

    /** Returns what decides the place of [request] before its arrival does. */
    fun rank(request: DispatchRequest, round: PlacementRound) =
        QueueRank(
            request.priority,
            isLate(request, round.nowMillis),
            round.shares?.isWithinShare(request) ?: true,
        )

    private fun order(nowMillis: Long): Comparator<DispatchRequest> =
        compareBy<DispatchRequest> { it.priority }
            .thenBy { isLate(it, nowMillis) }
            .thenBy { !it.isReturn }
            .thenBy { it.arrivedMillis }

    /**
     * Returns the rejection of [request] on its arrival, or null if it is queued. A prediction
     * alone rejects nothing while a slot is free and nothing waits: it may be wrong, and only
     * answers correct it.
     */
    fun rejectionOnArrival(
        request: DispatchRequest,
        queue: Collection<DispatchRequest>,
        round: PlacementRound,
    ): DispatchEffect.Refuse? {
        val waitingAtPeers = round.peers.waiting(request.service, request.priority)
        val isNoneWaiting = queue.isEmpty() && waitingAtPeers == 0
        if (isNoneWaiting && round.hasFreeSlot(request)) return null
        return rejection(request, queue, round)
    }

    /**
     * Returns the rejection of [request] if it has to wait too long behind [queue], or null if it
     * is queued. Called once the request can no longer be on time. Nothing is rejected before a
     * request has ended: an instance that rejects all of them would never learn how long they take.
     */
    fun rejection(
        request: DispatchRequest,
        queue: Collection<DispatchRequest>,
        round: PlacementRound,
    ): DispatchEffect.Refuse? {
        if (!pool.times.isHoldKnown) return null
        val nowMillis = round.nowMillis
        val waitMillis = expectedWaitMillis(request, queue, round)
        val firstEventMillis = pool.times.firstEventMillis(request)
        if (nowMillis + waitMillis + firstEventMillis <= request.targetMillis) return null
        val patienceMillis = request.firstEventDeadlineMillis - nowMillis - firstEventMillis
        if (waitMillis <= patienceMillis * MAX_LATE_WAIT_FRACTION) return null
        val isPaced = pool.features.hasPacedReturns
        val retryAfterMillis =
            if (isPaced) pacedRetryMillis(request, waitMillis, round)
            else retryAfterMillis(waitMillis, request.deadlineMillis - nowMillis)
        return DispatchEffect.Refuse(
            request.id,
            DispatchRefusal.OVERLOAD,
            retryAfterMillis,
            round.shares?.describe(request).orEmpty(),
            isPaced,
        )
    }

    /** Returns true if [request] cannot get its first event before its client gives up. */
    fun isExpired(request: DispatchRequest, nowMillis: Long): Boolean =
        request.firstEventDeadlineMillis - nowMillis <= MIN_SERVICE_MILLIS

    private fun expectedWaitMillis(
        request: DispatchRequest,
        queue: Collection<DispatchRequest>,
        round: PlacementRound,
    ): Double {
        val intervalMillis = round.slotIntervalMillis(request)
        val moreUrgent =
            queue.count { it.priority < request.priority } +
                round.peers.waiting(request.service, request.priority - 1)
        val slots = moreUrgent + slotsOfPriority(request, queue, round)
        val waitMillis = slots * intervalMillis
        val share = pool.minimumShare
        if (!share.isOwed(request.priority)) return waitMillis
        // A priority below its share waits only for its own requests, at the pace of that share.
        val ownAhead =
            queue.count { it.id != request.id && it.priority == request.priority } +
                round.peers.waitingAt(request.service, request.priority)
        val relativeHold = share.holdMillis(request.priority) / pool.times.meanHoldMillis()
        val ownIntervalMillis = intervalMillis * relativeHold / share.fraction
        return minOf(waitMillis, ownAhead * ownIntervalMillis)
    }

    private fun pacedRetryMillis(
        request: DispatchRequest,
        waitMillis: Double,
        round: PlacementRound,
    ): Long {
        val instances = round.peers.peerCount + 1
        val intervalMillis = round.slotIntervalMillis(request) * instances / MAX_RETURN_FRACTION
        return returns.retryAfterMillis(request, waitMillis, intervalMillis, round.nowMillis)
    }

    /** Returns how many slots go to requests of the same priority before [request] gets one. */
    private fun slotsOfPriority(
        request: DispatchRequest,
        queue: Collection<DispatchRequest>,
        round: PlacementRound,
    ): Double {
        val same = queue.filter { it.id != request.id && it.priority == request.priority }
        val isLate = isLate(request, round.nowMillis)
        val shares = round.shares
        val slots =
            if (shares != null && !isLate) shares.expectedSlots(request)
            else (same.size + round.peers.waitingAt(request.service, request.priority)).toDouble()
        if (isLate || !request.isReturn) return slots
        // Callers that return go before new ones; at peers, as many return as here.
        return slots * same.count { it.isReturn } / maxOf(1, same.size)
    }

    // A client that returns while the burst lasts is rejected again, and most return only once.
    private fun retryAfterMillis(waitMillis: Double, leftMillis: Long): Long =
        maxOf(waitMillis, leftMillis * MIN_RETRY_FRACTION).toLong()

    private companion object {
        /**
         * The servers of a pool differ in speed, and the slot that becomes free may be a slow one.
         */
        const val FIRST_EVENT_MARGIN = 2.0
        /** Reserves most of the time for which a client waits for the work on its request. */
        const val MAX_LATE_WAIT_FRACTION = 0.3
        const val MIN_RETRY_FRACTION = 0.15
        /** Leaves room for new requests, which would otherwise all be late. */
        const val MAX_RETURN_FRACTION = 0.5
        /** A request with less time left cannot be started before its client gives up. */
        const val MIN_SERVICE_MILLIS = 30L
    }
}
