package io.lavenderhinge.core.forwarding

/**
 * Tells rejected callers when to return, and recognises at every instance those that waited as
 * told, for bursts of several seconds at up to three times the capacity of a pool.
 *
 * The time to return follows from the digest of the request: one moment in each period of a clock
 * that all instances share. A request that arrives in its moment has waited as told; of the others,
 * one in eight does so by chance. This needs neither memory nor messages, and it spreads the
 * returns over time.
 *
 * Each instance promises its part of the slots of the pool that returning callers may take. A
 * caller for which none is left in time is told a time that is too late for it.
 */
internal class ReturnSchedule(
    /** Converts the time of this instance to that of all instances. */
    private val toFleetMillis: (nowMillis: Long) -> Long
) {
    private val promisedMillis = HashMap<Int, Double>()

    /** Returns true if [request] arrives when it would if it had been told to return. */
    fun isReturn(request: DispatchRequest): Boolean {
        val digest = request.digest ?: return false
        val periodMillis = periodMillis(request)
        val toleranceMillis = periodMillis / TOLERANCE_DIVISOR
        val sinceMoment =
            (toFleetMillis(request.arrivedMillis) - momentMillis(digest.value, periodMillis)).mod(
                periodMillis
            )
        return sinceMoment < toleranceMillis ||
            sinceMoment >= periodMillis - toleranceMillis / EARLY_DIVISOR
    }

    /**
     * Returns after which time [request] should return. There is room for it after [waitMillis],
     * and each instance may let a request return every [intervalMillis].
     */
    fun retryAfterMillis(
        request: DispatchRequest,
        waitMillis: Double,
        intervalMillis: Double,
        nowMillis: Long,
    ): Long {
        val leftMillis = request.deadlineMillis - nowMillis
        val maxMillis = leftMillis / CLIENT_DIVISOR
        // A caller returns only once.
        if (request.isReturn) return maxOf(waitMillis.toLong(), maxMillis + 1)
        val minMillis = maxOf(waitMillis, leftMillis * MIN_RETRY_FRACTION)
        val promised = promisedMillis[request.priority] ?: 0.0
        val earliestMillis = maxOf(nowMillis + minMillis, promised + intervalMillis)
        val retryMillis = nextMoment(request, earliestMillis.toLong()) - nowMillis
        if (retryMillis <= maxMillis) promisedMillis[request.priority] = earliestMillis
        return retryMillis
    }

    private fun nextMoment(request: DispatchRequest, earliestMillis: Long): Long {
        val digest = request.digest ?: return earliestMillis
        val periodMillis = periodMillis(request)
        val moment = momentMillis(digest.value, periodMillis)
        return earliestMillis + (moment - toFleetMillis(earliestMillis)).mod(periodMillis)
    }

    private fun momentMillis(digest: Long, periodMillis: Long): Long = digest.mod(periodMillis)

    // All instances know the target of the route, and it says how long callers wait.
    private fun periodMillis(request: DispatchRequest): Long =
        ((request.targetMillis - request.arrivedMillis) / 2).coerceIn(
            MIN_PERIOD_MILLIS,
            MAX_PERIOD_MILLIS,
        )

    private companion object {
        /** Clients honour a delay of up to a third of the time that they have left. */
        const val CLIENT_DIVISOR = 3
        /** A client that returns sooner would mostly meet the same burst. */
        const val MIN_RETRY_FRACTION = 0.15
        /** Long enough for the way to the client and back in the shortest period. */
        const val TOLERANCE_DIVISOR = 8
        /** Part of the tolerance by which clocks of instances may differ. */
        const val EARLY_DIVISOR = 4
        const val MIN_PERIOD_MILLIS = 80L
        const val MAX_PERIOD_MILLIS = 1_000L
    }
}
