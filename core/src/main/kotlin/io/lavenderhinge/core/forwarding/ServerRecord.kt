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
    data object Withdrawn : ServerOutcome
}

/** What this instance knows of one backend server from its own requests. */
internal class ServerRecord(var entry: ServerEntry) {
    /** Requests of this instance at the server. */
    var inFlight = 0
    /** Prompt tokens of those that have brought no event yet. */
    var pendingTokens = 0.0
    /** Time for the same work as a multiple of the pool's average. */
    var slowness = 1.0
        private set

    /** Moving average of the time between two events of a stream; 0 when none was seen. */
    var eventMillis = 0.0
        private set

    /** Moving average of how long a request holds its slot; 0 when none has ended. */
    var holdMillis = 0.0
        private set

    /** Moving average of the share of failed requests. */
    var failureFraction = 0.0
        private set

    private var signMillis = Long.MIN_VALUE
    private var samples = 0
    private var consecutiveFailures = 0
    private var restUntilMillis = Long.MIN_VALUE
    private var ejections = 0

    fun isResting(nowMillis: Long): Boolean = nowMillis < restUntilMillis

    /** A request was sent, or something came from the server. */
    fun onSign(nowMillis: Long) {
        signMillis = nowMillis
    }

    /**
     * True when the server works on requests of this instance and nothing has come from it for
     * [limitMillis]. Running streams bring events all the time, so it is frozen, cut off or gone.
     */
    fun isSilent(limitMillis: Double, nowMillis: Long): Boolean =
        inFlight > 0 && nowMillis - signMillis > limitMillis

    /** True when the server returns from a rest and one request at a time tests it. */
    val isOnTrial: Boolean
        get() = ejections > 0

    fun observe(outcome: ServerOutcome, model: FirstEventModel, nowMillis: Long) {
        when (outcome) {
            is ServerOutcome.Answered -> answered(outcome, model)
            is ServerOutcome.Failed -> failed(nowMillis, CONSECUTIVE_FAILURES)
            is ServerOutcome.Unreachable -> failed(nowMillis, tolerated = 1)
            is ServerOutcome.Full -> restUntilMillis = nowMillis + FULL_REST_MILLIS
            is ServerOutcome.Withdrawn -> Unit
        }
    }

    /** Forgets what was learned; the server has started anew. */
    fun reset() {
        slowness = 1.0
        holdMillis = 0.0
        eventMillis = 0.0
        failureFraction = 0.0
        samples = 0
        consecutiveFailures = 0
        ejections = 0
        restUntilMillis = Long.MIN_VALUE
    }

    private fun answered(outcome: ServerOutcome.Answered, model: FirstEventModel) {
        consecutiveFailures = 0
        failureFraction *= 1 - FAILURE_WEIGHT
        if (failureFraction < RECOVERED_FRACTION) ejections = 0
        val predicted = model.predictMillis(outcome.promptTokens).coerceAtLeast(1.0)
        val ratio = (outcome.firstEventMillis / predicted).coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
        samples++
        val weight = maxOf(1.0 / samples, SPEED_WEIGHT)
        slowness += (ratio - slowness) * weight
        holdMillis += (outcome.holdMillis - holdMillis) * weight
        if (outcome.events > MIN_EVENTS) {
            val gapMillis = (outcome.holdMillis - outcome.firstEventMillis) / (outcome.events - 1)
            val gapWeight = if (eventMillis == 0.0) 1.0 else SPEED_WEIGHT
            eventMillis += (gapMillis - eventMillis) * gapWeight
        }
        model.observe(outcome.promptTokens, outcome.firstEventMillis / slowness)
    }

    private fun failed(nowMillis: Long, tolerated: Int) {
        consecutiveFailures++
        failureFraction += (1 - failureFraction) * FAILURE_WEIGHT
        if (consecutiveFailures < tolerated && failureFraction < EJECT_FRACTION) return
        ejections++
        val rest = FIRST_REST_MILLIS shl (ejections - 1).coerceAtMost(MAX_REST_DOUBLINGS)
        restUntilMillis = nowMillis + rest
    }

    private companion object {
        /** Fewer events say little about the speed. */
        const val MIN_EVENTS = 3
        const val SPEED_WEIGHT = 0.1
        const val MIN_SLOWNESS = 0.1
        const val MAX_SLOWNESS = 20.0
        const val FAILURE_WEIGHT = 0.15
        const val CONSECUTIVE_FAILURES = 3
        /** Well over the share of errors that a sound service may answer with. */
        const val EJECT_FRACTION = 0.45
        const val RECOVERED_FRACTION = 0.1
        const val FIRST_REST_MILLIS = 500L
        const val MAX_REST_DOUBLINGS = 3
        /** About the time in which one of its requests ends. */
        const val FULL_REST_MILLIS = 40L
    }
}
