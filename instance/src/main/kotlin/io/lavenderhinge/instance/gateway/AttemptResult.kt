package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.HttpField

/** How one send of a request to a backend server ended. */
internal sealed interface AttemptResult {
    /** The client has the whole answer. */
    data object Delivered : AttemptResult

    /** A whole answer that has not been given to the client yet. */
    class Response(val status: Int, val fields: List<HttpField>, val body: ByteArray) :
        AttemptResult {
        /** True when another server might do better. */
        val isFailure: Boolean
            get() = status >= FIRST_SERVER_ERROR
    }

    /** The server certainly did not run the request. [wasSent] tells that it received it. */
    class NotExecuted(val reason: String, val wasSent: Boolean) : AttemptResult

    /** The server may have run the request, and its answer is lost or incomplete. */
    class OutcomeUnknown(val reason: String) : AttemptResult

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
