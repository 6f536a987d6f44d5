package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.RepeatedIdMatcher
import io.lavenderhinge.http.ResponseAttribution
import io.lavenderhinge.http.ResponseHead
import io.lavenderhinge.http.ResponseMatcher
import io.lavenderhinge.http.onlyResponse
import io.lavenderhinge.platform.PlatformHeaders
import io.lavenderhinge.platform.ServerRefusal

/**
 * Recognizes the response to a request by the request id that servers repeat, except in some
 * refusals, and records what was unusual in [observation].
 */
internal class RequestIdMatcher(requestId: String?, private val observation: ResponseObservation) :
    ResponseMatcher {
    private val matcher = if (requestId.isNullOrEmpty()) onlyResponse else matcherOf(requestId)

    override fun attribute(head: ResponseHead): ResponseAttribution {
        val attribution = matcher.attribute(head)
        if (attribution == ResponseAttribution.OTHER_REQUEST) observation.onSkipped(head)
        else observation.onAccepted(head, head.headers.contains(PlatformHeaders.REQUEST_ID))
        return attribution
    }

    private companion object {
        fun matcherOf(requestId: String): ResponseMatcher =
            RepeatedIdMatcher(PlatformHeaders.REQUEST_ID, requestId) {
                ServerRefusal.isStatedBy(it.status, it.headers)
            }
    }
}
