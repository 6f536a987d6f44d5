package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.ResponseAttribution
import io.lavenderhinge.http.ResponseHead
import io.lavenderhinge.http.ResponseMatcher
import io.lavenderhinge.platform.PlatformHeaders
import io.lavenderhinge.platform.ServerRefusal

/**
 * Recognizes the response to a request by the request id that servers repeat.
 *
 * Refusals may lack an id, and so may late copies. Since the client closes a connection after each
 * refusal, a refusal without an id can only belong to the present request. Other responses without
 * an id belong to it only if the connection has carried no response before.
 */
internal class RequestIdMatcher(
    private val requestId: String?,
    private val observation: ResponseObservation,
) : ResponseMatcher {
    override fun attribute(head: ResponseHead): ResponseAttribution {
        val attribution = decide(head)
        if (attribution == ResponseAttribution.OTHER_REQUEST) observation.onSkipped(head)
        else observation.onAccepted(head, head.headers.contains(PlatformHeaders.REQUEST_ID))
        return attribution
    }

    private fun decide(head: ResponseHead): ResponseAttribution {
        // A request without an id is sent on a new connection.
        if (requestId.isNullOrEmpty()) return ResponseAttribution.BY_POSITION
        val statedId = head.headers.get(PlatformHeaders.REQUEST_ID)
        if (statedId != null && statedId != requestId) return ResponseAttribution.OTHER_REQUEST
        if (ServerRefusal.isStatedBy(head.status, head.headers))
            return ResponseAttribution.BY_POSITION
        if (statedId != null) return ResponseAttribution.IDENTIFIED
        return if (head.isFirstOnConnection) ResponseAttribution.BY_POSITION
        else ResponseAttribution.OTHER_REQUEST
    }
}
