package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders

/** The head of a response as a client connection receives it, without interim (1xx) responses. */
class ResponseHead(
    val status: Int,
    val headers: HttpHeaders,
    /** True if the connection has carried no response before. */
    val isFirstOnConnection: Boolean,
)

/** Tells by its head to which request a response belongs. */
interface ResponseMatcher {
    /** Returns false if a response belongs to an earlier request; it is skipped then. */
    fun accepts(head: ResponseHead): Boolean

    /**
     * Returns true if an accepted response proves that it belongs to the present request. After one
     * that does not, the connection is closed: a second copy of it that comes late could not be
     * told from the response to the next request.
     */
    fun identifies(headers: HttpHeaders): Boolean
}

/** Takes each response for the one to the request in progress. */
internal object InOrder : ResponseMatcher {
    override fun accepts(head: ResponseHead) = true

    override fun identifies(headers: HttpHeaders) = true
}
