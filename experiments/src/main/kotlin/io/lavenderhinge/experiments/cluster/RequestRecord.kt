package io.lavenderhinge.experiments.cluster

import io.lavenderhinge.experiments.engine.BackendJob
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import io.lavenderhinge.experiments.scheduler.ShedReason
import io.lavenderhinge.experiments.time.ScheduledAction

/** How a request ended. */
enum class Outcome {
    /** The complete answer reached the caller within the deadline. */
    COMPLETED,

    /** The scheduler refused or cancelled it. */
    SHED,

    /** The stream broke after the backend server had accepted it. */
    FAILED,

    /** The deadline passed. */
    EXPIRED,

    /** Its entry instance died, and the caller's connection with it. */
    INSTANCE_LOST,
}

/** Where a request is. */
enum class Phase {
    /** With the scheduler; nothing has been accepted by a backend server. */
    WAITING,

    /** On the way to a backend server. */
    DISPATCHED,
    IN_SERVICE,
    SUSPENDED,
    ENDED,
}

/** What the harness knows about one request. Times and durations are those the caller sees. */
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

    /** True when the targets of the route and the deadline were met. */
    val meetsTargets: Boolean
        get() = outcome == Outcome.COMPLETED && (request.promptTokens == 0 || meetsTokenTargets())

    private fun meetsTokenTargets(): Boolean =
        (firstTokenMillis ?: Double.MAX_VALUE) <= request.targetFirstTokenMillis &&
            betweenTokensMillis <= request.targetBetweenTokensMillis
}
