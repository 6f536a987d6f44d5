package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders

/** The head of a response as a client connection receives it, without interim (1xx) responses. */
class ResponseHead(
    val status: Int,
    val headers: HttpHeaders,
    /** True if the connection has carried no response before. */
    val isFirstOnConnection: Boolean,
)

/** To which request of its connection a response belongs. */
enum class ResponseOwner {
    /** The request in progress. A late copy of the response would be recognized. */
    PRESENT_REQUEST,
    /**
     * The request in progress. The connection is closed after the response, because a late copy of
     * it could not be told from the response to the next request.
     */
    PRESENT_REQUEST_ONLY,
    /** An earlier request, or none. The response is skipped. */
    OTHER_REQUEST,
}

/** Tells by its head to which request a response belongs. */
fun interface ResponseMatcher {
    /** Returns the owner of the response with [head]. Called once for each final response. */
    fun ownerOf(head: ResponseHead): ResponseOwner
}

/**
 * Recognizes the response to a request by its [id], which servers repeat in the field [fieldName].
 *
 * The connection is closed after each error, because the request may be sent again with the same
 * id. An error without an id therefore belongs to the present request. Other responses without an
 * id belong to it only if the connection has carried no response before.
 */
class RepeatedIdMatcher(private val fieldName: String, private val id: String) : ResponseMatcher {
    override fun ownerOf(head: ResponseHead): ResponseOwner {
        val statedId = head.headers.get(fieldName)
        return when {
            statedId != null && statedId != id -> ResponseOwner.OTHER_REQUEST
            head.status >= HttpStatus.BAD_REQUEST -> ResponseOwner.PRESENT_REQUEST_ONLY
            statedId != null -> ResponseOwner.PRESENT_REQUEST
            head.isFirstOnConnection -> ResponseOwner.PRESENT_REQUEST_ONLY
            else -> ResponseOwner.OTHER_REQUEST
        }
    }
}

/**
 * Takes each response for the one to the request in progress, and closes its connection. On a new
 * connection, no response of another request can be mistaken for it.
 */
val onlyResponse = ResponseMatcher { ResponseOwner.PRESENT_REQUEST_ONLY }

/** Takes each response for the one to the request in progress. */
internal val responsesInOrder = ResponseMatcher { ResponseOwner.PRESENT_REQUEST }
