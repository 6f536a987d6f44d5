package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.withTimeoutOrNull

/** A response whose body is streamed. The caller must read the body to its end or call [abort]. */
class ClientResponse
internal constructor(
    private val connection: ClientConnection,
    private val timeouts: CallTimeouts,
    private val release: (HttpHeaders) -> Unit,
) {
    private lateinit var head: ClientEvent.Head
    private var finished = false

    val status: Int
        get() = head.response.status().code()

    val headers: HttpHeaders
        get() = head.response.headers()

    internal suspend fun awaitHead() {
        val event = nextEvent("sent no response head")
        head = event as? ClientEvent.Head ?: throw invalid("sent a malformed response")
    }

    /** Returns the next chunk of the body, or null at its end. Throws if the body is truncated. */
    suspend fun readChunk(): ByteArray? {
        if (finished) return null
        return when (val event = nextEvent("stopped sending")) {
            is ClientEvent.Chunk -> event.bytes
            is ClientEvent.End -> finish(event.reusable)
            is ClientEvent.Head -> throw invalid("sent a second response head")
            is ClientEvent.Malformed -> throw invalid("sent a malformed response")
        }
    }

    /** Reads the remaining body. Throws if it exceeds [MAX_BODY_BYTES]: it may have no end. */
    suspend fun readAll(): ByteArray {
        val body = ByteArrayOutputStream()
        while (true) {
            val chunk = readChunk() ?: return body.toByteArray()
            body.write(chunk)
            if (body.size() > MAX_BODY_BYTES) {
                abort()
                throw invalid("sent a body of more than $MAX_BODY_BYTES bytes")
            }
        }
    }

    /** Closes the connection unless the body has been read completely. */
    fun abort() {
        if (finished) return
        finished = true
        connection.close()
    }

    private fun finish(reusable: Boolean): ByteArray? {
        finished = true
        if (reusable) release(headers) else connection.close()
        return null
    }

    private suspend fun nextEvent(timeoutReason: String): ClientEvent {
        var closed = false
        val event = withProgressLimit { connection.next().also { closed = it == null } }
        if (event != null) return event
        abort()
        if (closed) {
            val what = "closed the connection before the answer was whole"
            throw outcomeUnknown(what, LossReason.CONNECTION_CLOSED)
        }
        throw outcomeUnknown("$timeoutReason for ${timeouts.progressMillis} ms", LossReason.SILENCE)
    }

    private suspend fun withProgressLimit(next: suspend () -> ClientEvent?): ClientEvent? =
        if (timeouts.progressMillis == CallTimeouts.NO_LIMIT_MILLIS) next()
        else withTimeoutOrNull(timeouts.progressMillis.coerceAtLeast(1)) { next() }

    private fun invalid(what: String) = outcomeUnknown(what, LossReason.INVALID_RESPONSE)

    private fun outcomeUnknown(what: String, reason: LossReason) =
        HttpCallException.OutcomeUnknown("the server $what", reason)

    private companion object {
        /** Above any value of the metadata store, which are the largest bodies that are read. */
        const val MAX_BODY_BYTES = 8_388_608
    }
}
