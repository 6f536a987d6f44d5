package io.lavenderhinge.core.forwarding

/**
 * Estimates what a request can expect at a server: the time until its first event, made longer
 * where the server often fails, is in another failure domain, delays other requests or would
 * overrun the deadline.
 */
internal class ServerEstimator(
    private val model: FirstEventModel,
    private val ejections: EjectionComparison,
    /** Expected time that a request occupies a slot of the server from now on. */
    private val expectedHoldMillis: (ServerRecord, nowMillis: Long) -> Double,
) {
    /** Returns the estimate for [request], of which [uncachedTokens] have to be read. */
    fun estimate(
        load: ServerLoad,
        request: DispatchRequest,
        uncachedTokens: Double,
        failureDomain: String,
        nowMillis: Long,
    ): ServerEstimate {
        val record = load.record
        val busy = load.busy
        val slots = load.slots
        val unloadedMillis = model.predictMillis(uncachedTokens + load.pendingTokens)
        val loadFactor = 1 + SLOWDOWN_PER_REQUEST * busy
        val releaseWaitMillis =
            if (busy < slots) 0.0
            else expectedHoldMillis(record, nowMillis) * (busy - slots + 1) / slots
        val slotWaitMillis = maxOf(releaseWaitMillis, load.limitWaitMillis)
        val expectedAttempts = expectedAttempts(record)
        val domainPenaltyMillis =
            if (record.entry.failureDomain == failureDomain) 0.0 else CROSS_DOMAIN_PENALTY_MILLIS
        val latencyFactor = record.latencyFactor * load.workTimeFactor
        val firstEventMillis = latencyFactor * unloadedMillis * loadFactor
        val delayOfOthersMillis =
            latencyFactor * model.millisPerToken * uncachedTokens * busy * DELAY_FRACTION
        val leftMillis = request.deadlineMillis - nowMillis
        val overrunMillis =
            slotWaitMillis +
                firstEventMillis +
                request.expectedEvents * record.eventIntervalMillis * load.workTimeFactor -
                leftMillis * USABLE_TIME_FRACTION
        val expectedMillis =
            (firstEventMillis + slotWaitMillis) * expectedAttempts * expectedAttempts +
                domainPenaltyMillis +
                delayOfOthersMillis +
                overrunMillis.coerceAtLeast(0.0)
        return ServerEstimate(load, expectedMillis, uncachedTokens)
    }

    // Failures that the other servers have as well are no reason to prefer these.
    private fun expectedAttempts(record: ServerRecord): Double {
        if (record.failureFraction < MIN_FAILURE_FRACTION) return 1.0
        val excess = record.failureFraction - ejections.othersFraction(record)
        return 1 / (1 - excess.coerceIn(0.0, MAX_FAILURE_FRACTION))
    }

    private companion object {
        const val SLOWDOWN_PER_REQUEST = 0.1
        /** A prompt is read in chunks, which delay the next events of all streams of the server. */
        const val DELAY_FRACTION = 0.3
        const val MIN_FAILURE_FRACTION = 0.001
        const val MAX_FAILURE_FRACTION = 0.8
        /**
         * Half of the deadline is kept in reserve, since estimated response lengths are inaccurate.
         */
        const val USABLE_TIME_FRACTION = 0.5
        /** Exceeds the round-trip time, because users pay for traffic between failure domains. */
        const val CROSS_DOMAIN_PENALTY_MILLIS = 8.0
    }
}
