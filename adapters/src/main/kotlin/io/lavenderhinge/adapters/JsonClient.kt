package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.onlyResponse
import io.lavenderhinge.http.valueOrNull
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import java.net.URLEncoder
import java.util.UUID

/** A JSON response; [body] is null when the response carried no JSON. */
data class JsonResponse(
    val status: Int,
    val body: JsonNode?,
    val headers: List<HttpField> = emptyList(),
) {
    /** Returns the first value of header [name], or null. */
    fun header(name: String): String? = headers.valueOrNull(name)
}

/** Why a call returned no response. */
sealed interface CallFault {
    val message: String

    /** The request was not sent. */
    data class NotSent(override val message: String) : CallFault

    /** The outcome is unknown; the call may have taken effect. */
    data class Unknown(override val message: String) : CallFault
}

/**
 * Client of one HTTP endpoint with a JSON API.
 *
 * Each call has an id of its own, by which its response is recognized. Pass `repeatsIds = false`
 * for an endpoint that does not repeat ids: each change then has a connection of its own, and the
 * responses to reads, which the caller must check, are taken in their order.
 */
class JsonClient(
    private val client: HttpClient,
    private val address: InetSocketAddress,
    private val timeouts: CallTimeouts,
    private val repeatsIds: Boolean = true,
) {
    /** Calls [path] and returns the response regardless of its status. */
    suspend fun call(
        method: String,
        path: String,
        query: String = "",
        body: ByteArray = ByteArray(0),
        timeouts: CallTimeouts = this.timeouts,
    ): Either<CallFault, JsonResponse> =
        try {
            val request = HttpRequest(method, path, query, DefaultHttpHeaders(), body)
            val response =
                when {
                    repeatsIds -> callWithId(request, timeouts)
                    method == "GET" -> client.call(address, request, timeouts)
                    else -> callOnOwnConnection(request, timeouts)
                }
            JsonResponse(response.status, Json.parseOrNull(response.body), response.headers).right()
        } catch (e: HttpCallException.NotSent) {
            CallFault.NotSent(e.message.orEmpty()).left()
        } catch (e: HttpCallException.OutcomeUnknown) {
            CallFault.Unknown(e.message.orEmpty()).left()
        }

    private suspend fun callWithId(request: HttpRequest, timeouts: CallTimeouts): HttpResponse {
        val id = UUID.randomUUID().toString()
        request.headers.set(RequestIdHeader.NAME, id)
        return client.call(address, request, timeouts, matcher = RequestIdHeader.matcher(id))
    }

    private suspend fun callOnOwnConnection(request: HttpRequest, timeouts: CallTimeouts) =
        client.call(address, request, timeouts, reuseConnection = false, onlyResponse)
}

/** Encodes [text] for a path segment or a query. */
fun urlEncode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)
