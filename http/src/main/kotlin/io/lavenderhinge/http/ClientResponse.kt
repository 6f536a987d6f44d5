package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import kotlinx.coroutines.withTimeoutOrNull

/** A response whose body is read as it comes. Read it to its end or [abort] it. */
class ClientResponse
internal constructor(
    private val connection: ClientConnection,
    timeouts: CallTimeouts,
    private val release: (HttpHeaders) -> Unit,
) {
    /** The longest silence before the next part of the response. */
    var progressMillis: Long = timeouts.progressMillis

    private lateinit var head: ClientEvent.Head
    private var finished = false

    /** Status code of the response. */
    val status: Int
        get() = head.response.status().code()

    /** Header fields of the response. */
    val headers: HttpHeaders
        get() = head.response.headers()

    internal suspend fun awaitHead() {
        val event = nextEvent("sent no response head")
        head = event as? ClientEvent.Head ?: throw outcomeUnknown("sent a malformed response")
    }

    /** The next part of the body, or null at its proper end. A body cut short throws. */
    suspend fun readChunk(): ByteArray? {
        if (finished) return null
        return when (val event = nextEvent("stopped sending")) {
            is ClientEvent.Chunk -> event.bytes
            is ClientEvent.End -> finish(event.reusable)
            is ClientEvent.Head -> throw outcomeUnknown("sent a second response head")
        }
    }

    /** Reads the rest of the body. */
    suspend fun readAll(): ByteArray {
        val body = ByteArrayOutputStream()
        while (true) {
            val chunk = readChunk() ?: return body.toByteArray()
            body.write(chunk)
        }
    }

    /** Closes the connection unless the body was read to its end. */
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

    private suspend fun nextEvent(silence: String): ClientEvent {
        var closed = false
        val event =
            withTimeoutOrNull(progressMillis) { connection.next().also { closed = it == null } }
        if (event != null) return event
        abort()
        if (closed) throw outcomeUnknown("closed the connection before the answer was whole")
        throw outcomeUnknown("$silence for $progressMillis ms")
    }

    private fun outcomeUnknown(what: String) = HttpCallException.OutcomeUnknown("the server $what")
}
