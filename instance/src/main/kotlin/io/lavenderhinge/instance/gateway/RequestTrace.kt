package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.ForwardRoute

/** What happened to one request, for its log line. */
internal class RequestTrace(
    val requestId: String?,
    val route: ForwardRoute,
    val admitted: Admission.Admitted,
    val arrivedMillis: Long,
) {
    private val events = mutableListOf<String>()
    private var startedCount = 0
    private var endedCount = 0
    private var isDelivered = false

    /** Service that was chosen. */
    var service: String? = null

    /** Status that the client got; null when it got a stream or nothing. */
    var status: Int? = null

    /** Why the dispatcher refused it. */
    var refusal: String? = null

    /** Why it got no answer of a backend server. */
    var failure: String? = null

    /** True between a send and its end. */
    val isInFlight: Boolean
        get() = startedCount > endedCount

    /** Sends and their ends in order. */
    val history: String
        get() = events.joinToString("; ")

    /** Status class, or how the request ended without a status. */
    val result: String
        get() =
            when {
                failure != null || refusal != null -> failure ?: refusal.orEmpty()
                status != null -> "${status!! / STATUS_CLASS_SIZE}xx"
                isDelivered -> "stream"
                else -> "client left"
            }

    /** The request was given to a server. */
    fun attemptStarted(grant: DispatchEffect.Assign, nowMillis: Long) {
        startedCount++
        val waitMillis = nowMillis - arrivedMillis
        events += "sent to ${grant.server.id} after $waitMillis ms"
    }

    /** The send ended. */
    fun attemptEnded(result: AttemptResult) {
        endedCount++
        when (result) {
            is AttemptResult.Delivered -> {
                isDelivered = true
                events += "delivered"
            }
            is AttemptResult.Response -> events += "status ${result.status}"
            is AttemptResult.NotExecuted -> events += "not run: ${result.reason}"
            is AttemptResult.OutcomeUnknown -> events += "lost: ${result.reason}"
        }
    }

    private companion object {
        const val STATUS_CLASS_SIZE = 100
    }
}
