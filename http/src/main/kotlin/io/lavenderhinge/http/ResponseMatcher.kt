package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders

/** The head of a response as a client connection receives it, without interim (1xx) responses. */
class ResponseHead(
    val status: Int,
    val headers: HttpHeaders,
    /** True if the connection has carried no response before. */
    val isFirstOnConnection: Boolean,
)

/** How a response is attributed to a request of its connection. */
enum class ResponseAttribution {
    /** The response identifies the request in progress, so a late copy of it is recognized. */
    IDENTIFIED,
    /**
     * The response is taken for that of the request in progress because no other one can be meant.
     * The connection is closed after it: a late copy could not be told from the next response.
     */
    BY_POSITION,
    /** The response belongs to an earlier request, or to none. It is skipped. */
    OTHER_REQUEST,
}

/** Tells by its head to which request a response belongs. */
fun interface ResponseMatcher {
    /** Attributes the response with [head]. Called once for each final response. */
    fun attribute(head: ResponseHead): ResponseAttribution
}

/**
 * Recognizes the response to a request by its [id], which servers repeat in the field [fieldName].
 *
 * Errors may lack the id, and so may late copies of any response. After each response for which
 * [closesConnection] returns true the connection is closed, so one of these without an id can only
 * belong to the present request. Other responses without an id belong to it only if the connection
 * has carried no response before.
 */
class RepeatedIdMatcher(
    private val fieldName: String,
    private val id: String,
    private val closesConnection: (ResponseHead) -> Boolean,
) : ResponseMatcher {
    override fun attribute(head: ResponseHead): ResponseAttribution {
        val statedId = head.headers.get(fieldName)
        return when {
            statedId != null && statedId != id -> ResponseAttribution.OTHER_REQUEST
            closesConnection(head) -> ResponseAttribution.BY_POSITION
            statedId != null -> ResponseAttribution.IDENTIFIED
            head.isFirstOnConnection -> ResponseAttribution.BY_POSITION
            else -> ResponseAttribution.OTHER_REQUEST
        }
    }
}

/**
 * Takes each response for the one to the request in progress, and closes its connection. On a new
 * connection, no response of another request can be mistaken for it.
 */
val onlyResponse = ResponseMatcher { ResponseAttribution.BY_POSITION }

/** Takes each response for the one to the request in progress. */
internal val responsesInOrder = ResponseMatcher { ResponseAttribution.IDENTIFIED }
