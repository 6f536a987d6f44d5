package io.lavenderhinge.core.forwarding

/**
 * Progress of the response to one attempt, which began at [sentMillis].
 *
 * Only events count as progress. Times are milliseconds on the monotonic clock. Not thread-safe:
 * all calls must come from one thread.
 */
class AttemptProgress(private val limits: SilenceLimits, private val sentMillis: Long) {
    private var firstEventMillis: Long? = null
    private var lastProgressMillis = sentMillis
    private var deliveringSinceMillis: Long? = null
    private var events = 0

    /** True once the response has stalled, also if it has gone on since. */
    var hasStalled = false
        private set

    /** True once the first event, or a complete response, has arrived. */
    val hasFirstEvent: Boolean
        get() = firstEventMillis != null

    /** Time at which the response counts as stalled unless an event arrives before. */
    val stallMillis: Long
        get() {
            val limitMillis =
                if (hasFirstEvent) limits.betweenEventsMillis else limits.firstEventMillis
            return lastProgressMillis + limitMillis
        }

    /** Time from which another server may be sought unless an event arrives before. */
    val searchMillis: Long
        get() = if (hasFirstEvent) stallMillis else lastProgressMillis + limits.searchMillis

    /** Records the arrival of [count] events; 0 at the end of the response. */
    fun onEvents(count: Int, nowMillis: Long) {
        events += count
        lastProgressMillis = nowMillis
        if (firstEventMillis == null) firstEventMillis = nowMillis
    }

    /** Records that data is passed on to the client, which may be slower than the server. */
    fun onDelivering(nowMillis: Long) {
        deliveringSinceMillis = nowMillis
    }

    /** Records that the client has taken the data. The time until then is not the server's. */
    fun onDelivered(nowMillis: Long) {
        val sinceMillis = deliveringSinceMillis ?: return
        deliveringSinceMillis = null
        lastProgressMillis += nowMillis - sinceMillis
    }

    /** Restarts the wait after this instance itself was paused and could not receive anything. */
    fun onOwnPause(nowMillis: Long) {
        lastProgressMillis = nowMillis
    }

    /**
     * Returns true if the server has sent nothing for longer than the limits allow. Never the case
     * while data waits for the client.
     */
    fun isStalled(nowMillis: Long): Boolean =
        deliveringSinceMillis == null && nowMillis >= stallMillis

    /** Returns true if the request is better sent to another server that has a slot for it. */
    fun isSearchDue(nowMillis: Long): Boolean =
        deliveringSinceMillis == null && nowMillis >= searchMillis

    /** Returns true when the response is found to have stalled, but only the first time. */
    fun detectStall(nowMillis: Long): Boolean {
        if (hasStalled || !isStalled(nowMillis)) return false
        hasStalled = true
        return true
    }

    /** Returns the outcome of a complete response to [promptTokens] that the server had to read. */
    fun answered(promptTokens: Double, nowMillis: Long) =
        ServerOutcome.Answered(
            firstEventMillis = ((firstEventMillis ?: nowMillis) - sentMillis).toDouble(),
            holdMillis = (nowMillis - sentMillis).toDouble(),
            promptTokens = promptTokens,
            events = events,
        )

    /**
     * Returns the outcome of an attempt that ends without a complete response because the client
     * has left or the deadline has passed. A stalled response is a failure of the server.
     */
    fun abandoned(nowMillis: Long): ServerOutcome =
        if (isStalled(nowMillis)) ServerOutcome.Stalled else ServerOutcome.Inconclusive

    /**
     * Returns what the end of the attempt with [outcome] shows of its version. A stall was counted
     * when it was found, and counts only once.
     */
    fun versionOutcome(outcome: ServerOutcome): ServerOutcome =
        if (hasStalled) ServerOutcome.Inconclusive else outcome
}
