package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.ResponseHead
import io.lavenderhinge.http.ResponseMatcher
import io.lavenderhinge.platform.PlatformHeaders
import io.netty.handler.codec.http.HttpHeaders

/** Recognizes responses by the request id that servers repeat, except in some refusals. */
internal class RequestIdMatcher(
    private val requestId: String?,
    private val observation: ResponseObservation,
) : ResponseMatcher {
    override fun accepts(head: ResponseHead): Boolean {
        val isAccepted = head.headers.get(PlatformHeaders.REQUEST_ID)?.equals(requestId) ?: true
        if (isAccepted) observation.onAccepted(head, identifies(head.headers))
        else observation.onSkipped(head)
        return isAccepted
    }

    override fun identifies(headers: HttpHeaders): Boolean =
        requestId == null || headers.contains(PlatformHeaders.REQUEST_ID)
}
