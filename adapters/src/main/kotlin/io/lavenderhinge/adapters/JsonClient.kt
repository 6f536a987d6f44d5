package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import java.net.URLEncoder

/** A JSON response; [body] is null when the response carried no JSON. */
data class JsonResponse(val status: Int, val body: JsonNode?)

/** Why a call returned no response. */
sealed interface CallFault {
    val message: String

    /** The request was not sent. */
    data class NotSent(override val message: String) : CallFault

    /** The outcome is unknown; the call may have taken effect. */
    data class Unknown(override val message: String) : CallFault
}

/** Client of one HTTP endpoint with a JSON API. */
class JsonClient(
    private val client: HttpClient,
    private val address: InetSocketAddress,
    private val timeouts: CallTimeouts,
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
            val response = client.call(address, request, timeouts)
            JsonResponse(response.status, Json.parseOrNull(response.body)).right()
        } catch (e: HttpCallException.NotSent) {
            CallFault.NotSent(e.message.orEmpty()).left()
        } catch (e: HttpCallException.OutcomeUnknown) {
            CallFault.Unknown(e.message.orEmpty()).left()
        }
}

/** Encodes [text] for a path segment or a query. */
fun urlEncode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)
