package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.ResponseMatcher
import io.lavenderhinge.platform.PlatformHeaders
import io.netty.handler.codec.http.HttpHeaders

/** Recognizes responses by the request id that servers repeat, except in some refusals. */
internal class RequestIdMatcher(private val requestId: String?) : ResponseMatcher {
    override fun accepts(headers: HttpHeaders): Boolean =
        headers.get(PlatformHeaders.REQUEST_ID)?.equals(requestId) ?: true

    override fun identifies(headers: HttpHeaders): Boolean =
        requestId == null || headers.contains(PlatformHeaders.REQUEST_ID)
}
