package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.ForwardRoute
import io.lavenderhinge.core.forwarding.PromptPart

/** Records the attempts and the outcome of one request for its log line. */
internal class RequestTrace(
    val requestId: String?,
    val route: ForwardRoute,
    val admitted: Admission.Admitted,
    /** The configuration by which the request was admitted. */
    val admittedVersion: Long,
    val arrivedMillis: Long,
    private val promptParts: List<PromptPart>,
) {
    private val events = mutableListOf<String>()
    private var startedCount = 0
    private var endedCount = 0
    private var isDelivered = false
    private var hasLostServer = false

    /** Number of responses of other requests that arrived in place of this request's. */
    var skippedResponseCount = 0
        private set

    /** Number of responses that were accepted although they have no request id. */
    var unidentifiedResponseCount = 0
        private set

    /** Prompt tokens of all attempts that had to be read. */
    var readTokens = 0.0
        private set

    /** Prompt tokens of all attempts that were expected in the caches of the servers. */
    var heldTokens = 0.0
        private set

    /** The selected service. */
    var service: String? = null

    /** Status sent to the client; null for a stream or if no response was sent. */
    var status: Int? = null

    /** Reason of a refusal by the dispatcher. */
    var refusal: String? = null
        private set

    /** Reason why no backend server response was delivered. */
    var failure: ForwardingFailure? = null

    /** Number of events of a stream that were sent to the client. */
    var eventCount = 0

    /**
     * The ids of the prompt parts if a backend server's response was lost, otherwise null. They
     * tell whether the requests in flight at servers that ended have a part in common.
     */
    val lostPromptParts: String?
        get() = if (hasLostServer) promptParts.joinToString(",") { it.id } else null

    /** True while an attempt is in progress. */
    val isInFlight: Boolean
        get() = startedCount > endedCount

    /** Attempts and their results in chronological order. */
    val history: String
        get() = events.joinToString("; ")

    /** Failure or refusal reason if there is one, otherwise the status class or kind of end. */
    val result: String
        get() =
            when {
                failure != null || refusal != null -> failure?.text ?: refusal.orEmpty()
                status != null -> "${status!! / STATUS_CLASS_SIZE}xx"
                isDelivered -> "stream"
                else -> "client left"
            }

    /** Records that the dispatcher refused the request. */
    fun refused(effect: DispatchEffect.Refuse) {
        refusal = effect.reason.name
        if (effect.inputs.isNotEmpty()) events += "refused: ${effect.inputs}"
    }

    /** Records that the request was assigned to a server. */
    fun attemptStarted(grant: DispatchEffect.Assign, nowMillis: Long) {
        startedCount++
        readTokens += grant.uncachedTokens
        heldTokens += grant.heldTokens
        val waitMillis = nowMillis - arrivedMillis
        events += "sent to ${grant.server.id} after $waitMillis ms (${grant.inputs})"
    }

    /** Records the result of the attempt. */
    fun attemptEnded(result: AttemptResult) {
        endedCount++
        when (result) {
            is AttemptResult.Delivered -> {
                isDelivered = true
                events += "delivered"
            }
            is AttemptResult.Response -> events += "status ${result.status}"
            is AttemptResult.NotExecuted -> events += "not run: ${result.reason}"
            is AttemptResult.OutcomeUnknown -> recordLoss(result.reason)
            is AttemptResult.Replaced -> recordLoss(result.reason)
        }
    }

    /** Records what was unusual about the responses on the connection of an attempt. */
    fun responsesObserved(responses: ResponseObservation) {
        responses.describe()?.let { events += it }
        skippedResponseCount += responses.skippedCount
        if (responses.isUnidentified) unidentifiedResponseCount++
    }

    /** Records that no other server can replace one whose response has stalled. */
    fun replacementRefused(effect: DispatchEffect.Refuse) {
        addOnce("not replaced: ${effect.reason}")
    }

    /** Records that no server can go on now with a stream that has begun. */
    fun resumptionRefused(effect: DispatchEffect.Refuse) {
        addOnce("not resumed yet: ${effect.reason}")
    }

    /** Records that the retry budget does not allow to go on now with a stream that has begun. */
    fun resumptionDelayed() {
        addOnce("not resumed yet: the retry budget is used up")
    }

    /**
     * Records that the attempt at a replacement ended with [result], and the one before goes on.
     */
    fun replacementEnded(result: AttemptResult) {
        endedCount++
        val reason =
            when (result) {
                is AttemptResult.Delivered -> "delivered"
                is AttemptResult.Response -> "status ${result.status}"
                is AttemptResult.NotExecuted -> result.reason
                is AttemptResult.OutcomeUnknown -> result.reason
                is AttemptResult.Replaced -> result.reason
            }
        events += "kept: $reason"
    }

    /** Records that a replacement is not needed for [reason]. */
    fun replacementWithdrawn(reason: String) {
        endedCount++
        events += "kept: $reason"
    }

    // Tries that are repeated until the deadline would make the line long.
    private fun addOnce(event: String) {
        if (events.lastOrNull() != event) events += event
    }

    private fun recordLoss(reason: String) {
        hasLostServer = true
        events += "lost: $reason"
    }

    private companion object {
        const val STATUS_CLASS_SIZE = 100
    }
}
