package io.lavenderhinge.http

/** An error that the listener itself reports to the client. */
enum class HttpFault(val status: Int, val code: String, val remedy: String) {
    MALFORMED(400, "malformed-request", "send a valid HTTP/1.1 request"),
    HEAD_TIMEOUT(408, "head-timeout", "send the whole request head sooner"),
    BODY_TIMEOUT(408, "body-timeout", "send the whole request body sooner"),
    BODY_TOO_LARGE(413, "body-too-large", "send a smaller body"),
    LINE_TOO_LONG(414, "request-line-too-long", "send a shorter request target"),
    HEAD_TOO_LARGE(431, "head-too-large", "send fewer or shorter header fields"),
    TOO_MANY_PIPELINED(429, "too-many-pipelined", "wait for answers before sending more requests"),
    TOO_MANY_CONNECTIONS(503, "too-many-connections", "retry on another connection later"),
    HANDLER_FAILED(500, "internal-error", "retry; report it if it happens again"),
}

/** Renders an [HttpFault] as a response; the default is `application/problem+json`. */
fun interface HttpFaultRenderer {
    /** Builds the response for [fault], after which the connection is closed. */
    fun render(fault: HttpFault): HttpResponse
}

/**
 * Renders a problem document with a stable code, a remedy and an outcome: `unknown` if the handler
 * failed, `not-run` otherwise.
 */
object ProblemRenderer : HttpFaultRenderer {
    override fun render(fault: HttpFault): HttpResponse {
        // The handler may have dispatched the request before it failed.
        val outcome = if (fault == HttpFault.HANDLER_FAILED) "unknown" else "not-run"
        val body =
            """{"status":${fault.status},"code":"${fault.code}","remedy":"${fault.remedy}",""" +
                """"outcome":"$outcome"}"""
        return HttpResponse(
            fault.status,
            body.toByteArray(),
            contentType = "application/problem+json",
        )
    }
}
