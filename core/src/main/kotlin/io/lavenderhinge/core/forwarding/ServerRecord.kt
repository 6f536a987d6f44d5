package io.lavenderhinge.core.forwarding

/** How a request ended at a backend server, as far as it says something about the server. */
sealed interface ServerOutcome {
    /** The server answered. Times are from the send. */
    data class Answered(
        val firstEventMillis: Double,
        val holdMillis: Double,
        val promptTokens: Double,
        /** Events of a stream; 0 for an answer that is no stream. */
        val events: Int,
    ) : ServerOutcome

    /** The server failed: an error of its own, a broken or silent connection. */
    data object Failed : ServerOutcome

    /** The server could not be connected to. */
    data object Unreachable : ServerOutcome

    /** The server stated that it is full and did not run the request. */
    data object Full : ServerOutcome

    /** The request ended for a reason that says nothing about the server. */
    data object Inconclusive : ServerOutcome
}

/** What this instance knows of one backend server from its own requests. */
internal class ServerRecord(var entry: ServerEntry) {
    /** Requests of this instance at the server. */
    var inFlight = 0
    /** Prompt tokens of those that have brought no event yet. */
    var pendingTokens = 0.0
    /** Time for the same work as a multiple of the pool's average. */
    var latencyFactor = 1.0
        private set

    /** Moving average of the time between two events of a stream; 0 when none was seen. */
    var eventIntervalMillis = 0.0
        private set

    /** Moving average of how long a request holds its slot; 0 when none has ended. */
    var holdMillis = 0.0
        private set

    /** Moving average of the share of failed requests. */
    var failureFraction = 0.0
        private set

    private var lastActivityMillis = Long.MIN_VALUE
    private var sampleCount = 0
    private var consecutiveFailures = 0
    private var backoffUntilMillis = Long.MIN_VALUE
    private var ejectionCount = 0

    fun isBackingOff(nowMillis: Long): Boolean = nowMillis < backoffUntilMillis

    /** A request was sent, or something came from the server. */
    fun onActivity(nowMillis: Long) {
        lastActivityMillis = nowMillis
    }

    /**
     * True when the server works on requests of this instance and nothing has come from it for
     * [limitMillis]. Running streams bring events all the time, so it is frozen, cut off or gone.
     */
    fun isSilent(limitMillis: Double, nowMillis: Long): Boolean =
        inFlight > 0 && nowMillis - lastActivityMillis > limitMillis

    /** True when the server returns from a rest and one request at a time tests it. */
    val isHalfOpen: Boolean
        get() = ejectionCount > 0

    fun observe(outcome: ServerOutcome, model: FirstEventModel, nowMillis: Long) {
        when (outcome) {
            is ServerOutcome.Answered -> recordAnswer(outcome, model)
            is ServerOutcome.Failed -> recordFailure(nowMillis, CONSECUTIVE_FAILURES_TO_EJECT)
            is ServerOutcome.Unreachable -> recordFailure(nowMillis, failureLimit = 1)
            is ServerOutcome.Full -> backoffUntilMillis = nowMillis + FULL_BACKOFF_MILLIS
            is ServerOutcome.Inconclusive -> Unit
        }
    }

    /** Forgets what was learned; the server has started anew. */
    fun reset() {
        latencyFactor = 1.0
        holdMillis = 0.0
        eventIntervalMillis = 0.0
        failureFraction = 0.0
        sampleCount = 0
        consecutiveFailures = 0
        ejectionCount = 0
        backoffUntilMillis = Long.MIN_VALUE
    }

    private fun recordAnswer(outcome: ServerOutcome.Answered, model: FirstEventModel) {
        consecutiveFailures = 0
        failureFraction *= 1 - FAILURE_WEIGHT
        if (failureFraction < RECOVERED_FRACTION) ejectionCount = 0
        val predicted = model.predictMillis(outcome.promptTokens).coerceAtLeast(1.0)
        val ratio =
            (outcome.firstEventMillis / predicted).coerceIn(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR)
        sampleCount++
        val weight = maxOf(1.0 / sampleCount, SAMPLE_WEIGHT)
        latencyFactor += (ratio - latencyFactor) * weight
        holdMillis += (outcome.holdMillis - holdMillis) * weight
        if (outcome.events > MIN_EVENTS) {
            val intervalMillis =
                (outcome.holdMillis - outcome.firstEventMillis) / (outcome.events - 1)
            val intervalWeight = if (eventIntervalMillis == 0.0) 1.0 else SAMPLE_WEIGHT
            eventIntervalMillis += (intervalMillis - eventIntervalMillis) * intervalWeight
        }
        model.observe(outcome.promptTokens, outcome.firstEventMillis / latencyFactor)
    }

    private fun recordFailure(nowMillis: Long, failureLimit: Int) {
        consecutiveFailures++
        failureFraction += (1 - failureFraction) * FAILURE_WEIGHT
        if (consecutiveFailures < failureLimit && failureFraction < EJECTION_FRACTION) return
        ejectionCount++
        val backoffMillis =
            INITIAL_BACKOFF_MILLIS shl (ejectionCount - 1).coerceAtMost(MAX_BACKOFF_DOUBLINGS)
        backoffUntilMillis = nowMillis + backoffMillis
    }

    private companion object {
        /** Fewer events say little about the speed. */
        const val MIN_EVENTS = 3
        const val SAMPLE_WEIGHT = 0.1
        const val MIN_LATENCY_FACTOR = 0.1
        const val MAX_LATENCY_FACTOR = 20.0
        const val FAILURE_WEIGHT = 0.15
        const val CONSECUTIVE_FAILURES_TO_EJECT = 3
        /** Well over the share of errors that a sound service may answer with. */
        const val EJECTION_FRACTION = 0.45
        const val RECOVERED_FRACTION = 0.1
        const val INITIAL_BACKOFF_MILLIS = 500L
        const val MAX_BACKOFF_DOUBLINGS = 3
        /** About the time in which one of its requests ends. */
        const val FULL_BACKOFF_MILLIS = 40L
    }
}
