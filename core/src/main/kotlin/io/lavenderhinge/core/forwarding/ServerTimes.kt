package io.lavenderhinge.core.forwarding

/**
 * How long requests take at the servers of one pool, from their statistics and from what the
 * servers state of their machines.
 */
internal class ServerTimes(
    private val model: FirstEventModel,
    private val averages: PoolAverages,
    private val statedLoads: PoolStatedLoads,
    private val cold: ColdServers,
) {
    /** True if a request of this instance has ended, so that predictions rest on experience. */
    val isHoldKnown: Boolean
        get() = averages.knownHoldMillis != null

    /** Returns how long a request occupies its slot, on average over the servers. */
    fun meanHoldMillis(): Double =
        averages.knownHoldMillis?.coerceAtLeast(MIN_HOLD_MILLIS) ?: DEFAULT_HOLD_MILLIS

    // A server without samples is assumed to be average. With a shorter default, requests would
    // wait for it while other servers are free.
    /** Returns how long a request that starts now occupies a slot of [record]. */
    fun expectedHoldMillis(record: ServerRecord, nowMillis: Long): Double {
        if (record.holdMillis <= 0) return meanHoldMillis()
        val factor = workFactor(record, record.holdMillis, nowMillis)
        return (record.holdMillis * factor).coerceAtLeast(MIN_HOLD_MILLIS)
    }

    /** Returns the expected time of work at the server, relative to that when it is usual. */
    fun workFactor(record: ServerRecord, durationMillis: Double, nowMillis: Long): Double =
        statedLoads.factor(record, durationMillis, nowMillis) *
            cold.latencyFactor(record.entry.run, nowMillis)

    /**
     * Returns the expected time from the send of [request] to its first event. The model is fitted
     * to latencies that are divided by the servers' factors, so their mean may differ from 1.
     */
    fun firstEventMillis(request: DispatchRequest): Double =
        averages.latencyFactor * model.predictMillis(request.promptTokens)

    /** Returns true if [record] has sent nothing for much longer than its requests take. */
    fun isSilent(record: ServerRecord, nowMillis: Long): Boolean {
        val expectedMillis = record.latencyFactor * model.predictMillis(record.pendingTokens)
        val factor = workFactor(record, durationMillis = 0.0, nowMillis).coerceAtLeast(1.0)
        return record.isSilent(
            factor * maxOf(MIN_SILENCE_MILLIS, SILENCE_FACTOR * expectedMillis),
            nowMillis,
        )
    }

    companion object {
        /** Shorter times say more about the measurement than about the server. */
        const val MIN_HOLD_MILLIS = 20.0
        /**
         * Long enough that a free server is preferred to a busy one before any request has ended.
         */
        private const val DEFAULT_HOLD_MILLIS = 1_000.0
        /** Several times the interval between two events of a server at full load. */
        private const val MIN_SILENCE_MILLIS = 350.0
        private const val SILENCE_FACTOR = 4.0
    }
}
