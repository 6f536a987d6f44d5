package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.HttpField

/** Result of one attempt to forward a request to a backend server. */
internal sealed interface AttemptResult {
    /** The complete response has been streamed to the client. */
    data object Delivered : AttemptResult

    /** A complete response that has not been sent to the client yet. */
    class Response(val status: Int, val fields: List<HttpField>, val body: ByteArray) :
        AttemptResult {
        /** True for a server error, which another server might not return. */
        val isFailure: Boolean
            get() = status >= FIRST_SERVER_ERROR
    }

    /** The server did not execute the request. [wasSent] is true if the server received it. */
    class NotExecuted(val reason: String, val wasSent: Boolean) : AttemptResult

    /** The server may have executed the request, but its response is missing or incomplete. */
    class OutcomeUnknown(val reason: String) : AttemptResult

    /** The response has stalled, and another server has accepted the request. */
    class Replaced(val reason: String) : AttemptResult

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
