package io.lavenderhinge.adapters

import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.http.RepeatedIdMatcher
import io.lavenderhinge.http.ResponseMatcher

/** The header field with the id of a request, which servers repeat in their responses. */
object RequestIdHeader {
    const val NAME = "X-Request-Id"

    /** Recognizes the response to the request with [id]. */
    fun matcher(id: String): ResponseMatcher =
        RepeatedIdMatcher(NAME, id) { it.status >= HttpStatus.BAD_REQUEST }
}
