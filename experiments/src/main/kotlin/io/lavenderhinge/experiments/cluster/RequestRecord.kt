package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.ScheduledAction

/** How a request ended. */
enum class Outcome {
    /** The caller received the complete response within the deadline. */
    COMPLETED,

    /** The scheduler refused or cancelled the request. */
    SHED,

    /** The stream broke after the backend server had accepted it. */
    FAILED,

    /** The deadline passed. */
    EXPIRED,

    /** The entry instance crashed, which closed the caller's connection. */
    INSTANCE_LOST,
}

/** Processing state of a request. */
enum class Phase {
    /** Held by the scheduler; no backend server has accepted it. */
    WAITING,

    /** In transit to a backend server. */
    DISPATCHED,
    IN_SERVICE,
    SUSPENDED,
    ENDED,
}

/** State and measurements of one request. Times and durations are as seen by the caller. */
class RequestRecord(val job: BackendJob, val entryId: String, val arrivalMicros: Long) {
    val request: ScheduledRequest = job.request
    var phase = Phase.WAITING
    var serverId: String? = null
    var dispatchMicros = 0L
    var acceptedCount = 0
    var duplicatePrefillTokens = 0
    var firstTokenMillis: Double? = null
    var betweenTokensMillis = 0.0
    var outcome: Outcome? = null
    var shedReason: ShedReason? = null
    var durationMillis = 0.0
    var deadlineTimer: ScheduledAction? = null

    /** True if the request met its deadline and the latency targets of its route. */
    val meetsTargets: Boolean
        get() = outcome == Outcome.COMPLETED && (request.promptTokens == 0 || meetsTokenTargets())

    private fun meetsTokenTargets(): Boolean =
        (firstTokenMillis ?: Double.MAX_VALUE) <= request.targetFirstTokenMillis &&
            betweenTokensMillis <= request.targetBetweenTokensMillis
}
