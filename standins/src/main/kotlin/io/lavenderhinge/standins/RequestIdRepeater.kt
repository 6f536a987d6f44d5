package io.lavenderhinge.standins

import io.lavenderhinge.http.HttpBodyWriter
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpResponse

private const val REQUEST_ID_FIELD = "X-Request-Id"

/** Repeats the id of each request in the response of [delegate]. */
internal class RequestIdRepeater(private val delegate: HttpHandler) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        val id = exchange.request.header(REQUEST_ID_FIELD)
        delegate.handle(if (id == null) exchange else IdentifiedExchange(exchange, id))
    }
}

private class IdentifiedExchange(private val delegate: HttpExchange, id: String) : HttpExchange {
    private val idField = HttpField(REQUEST_ID_FIELD, id)

    override val request
        get() = delegate.request

    override suspend fun respond(response: HttpResponse) {
        val headers = response.headers + idField
        delegate.respond(
            HttpResponse(response.status, response.body, headers, response.contentType)
        )
    }

    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: List<HttpField>,
    ): HttpBodyWriter = delegate.startStream(status, contentType, headers + idField)
}
