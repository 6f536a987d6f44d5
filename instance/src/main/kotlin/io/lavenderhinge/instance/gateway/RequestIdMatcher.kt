package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.http.ResponseHead
import io.lavenderhinge.http.ResponseMatcher
import io.lavenderhinge.http.ResponseOwner
import io.lavenderhinge.platform.PlatformHeaders

/**
 * Recognizes the response to a request by the request id that servers repeat.
 *
 * Refusals may bear no id, and neither may the late copy of any response. A refusal without an id
 * can only belong to the present request, because a connection is closed after each refusal. Other
 * responses without an id belong to it only if the connection has carried no response before.
 */
internal class RequestIdMatcher(
    private val requestId: String?,
    private val observation: ResponseObservation,
) : ResponseMatcher {
    override fun ownerOf(head: ResponseHead): ResponseOwner {
        val owner = decideOwner(head)
        if (owner == ResponseOwner.OTHER_REQUEST) observation.onSkipped(head)
        else observation.onAccepted(head, head.headers.contains(PlatformHeaders.REQUEST_ID))
        return owner
    }

    private fun decideOwner(head: ResponseHead): ResponseOwner {
        // A request without an id is sent on a new connection.
        if (requestId.isNullOrEmpty()) return ResponseOwner.PRESENT_REQUEST_ONLY
        val statedId = head.headers.get(PlatformHeaders.REQUEST_ID)
        if (statedId != null && statedId != requestId) return ResponseOwner.OTHER_REQUEST
        if (isRefusal(head)) return ResponseOwner.PRESENT_REQUEST_ONLY
        if (statedId != null) return ResponseOwner.PRESENT_REQUEST
        return if (head.isFirstOnConnection) ResponseOwner.PRESENT_REQUEST_ONLY
        else ResponseOwner.OTHER_REQUEST
    }

    private fun isRefusal(head: ResponseHead) =
        head.status == HttpStatus.MISDIRECTED || head.headers.contains(PlatformHeaders.NOT_EXECUTED)
}
