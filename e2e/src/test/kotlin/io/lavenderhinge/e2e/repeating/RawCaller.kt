package io.lavenderhinge.e2e.repeating

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** A request of a caller. */
internal data class CallerRequest(
    val id: String,
    val prefix: String,
    val framing: BodyFraming,
    /** The caller closes its connection after this time without data; null to wait for the end. */
    val leaveAfterMillis: Int?,
)

/** What a caller got. */
internal sealed interface CallerResult {
    data class Answered(
        val status: Int,
        val requestId: String?,
        val signature: String?,
        val body: String,
        val retryAfterMillis: Long,
    ) : CallerResult

    /** The connection ended before the answer was complete. */
    data class BrokenOff(val reason: String) : CallerResult

    /** The answer did not come within the time that the caller allows. */
    data object Unanswered : CallerResult

    /** The caller left before its answer was complete. */
    data object Left : CallerResult
}

/** A caller with one kept connection to a gateway. It reads answers without an HTTP library. */
internal class RawCaller(private val port: Int) : AutoCloseable {
    private var socket: Socket? = null
    private var input: BufferedInputStream? = null

    /** Number of times that bytes arrived although no request was waiting. */
    var strayCount = 0
        private set

    fun call(request: CallerRequest): CallerResult =
        try {
            val stream = connectedInput()
            val connected = checkNotNull(socket)
            connected.soTimeout = request.leaveAfterMillis ?: PATIENCE_MILLIS
            connected.getOutputStream().write(render(request).toByteArray())
            readAnswer(stream)
        } catch (_: SocketTimeoutException) {
            disconnect()
            if (request.leaveAfterMillis == null) CallerResult.Unanswered else CallerResult.Left
        } catch (e: IOException) {
            disconnect()
            CallerResult.BrokenOff(e.message.orEmpty())
        }

    /** Closes the connection, on which no request is waiting. */
    override fun close() {
        if ((input?.available() ?: 0) > 0) strayCount++
        disconnect()
    }

    private fun disconnect() {
        socket?.close()
        socket = null
        input = null
    }

    private fun connectedInput(): BufferedInputStream {
        input?.let {
            if (it.available() == 0) return it
            close()
        }
        val opened = Socket(InetAddress.getLoopbackAddress(), port)
        opened.tcpNoDelay = true
        socket = opened
        return BufferedInputStream(opened.getInputStream()).also { input = it }
    }

    private fun readAnswer(stream: BufferedInputStream): CallerResult {
        val head = readHead(stream) ?: throw IOException("closed before the answer")
        val fields = head.fields
        val body = readBody(stream, head)
        if (fields["connection"].equals("close", ignoreCase = true)) close()
        return CallerResult.Answered(
            head.startLine.split(' ')[1].toInt(),
            fields["x-lavenderhinge-request-id"],
            fields["x-lavenderhinge-server-signature"],
            body,
            ((fields["retry-after"]?.toDouble() ?: 0.0) * MILLIS_PER_SECOND).toLong(),
        )
    }

    private fun render(request: CallerRequest): String {
        val head =
            "POST ${request.prefix}${request.id} HTTP/1.1\r\nHost: h\r\n" +
                "X-Lavenderhinge-Request-Id: ${request.id}\r\n" +
                "X-Lavenderhinge-Deadline-Remaining: $DEADLINE_MILLIS\r\n"
        val body = requestBody(request.id)
        return when (request.framing) {
            BodyFraming.LENGTH -> "${head}Content-Length: ${body.length}\r\n\r\n$body"
            BodyFraming.CHUNKED ->
                "${head}Transfer-Encoding: chunked\r\n\r\n" +
                    "${body.length.toString(radix = 16)}\r\n$body\r\n0\r\n\r\n"
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 4_000
        /** Well above the deadline, within which the gateway has to answer. */
        const val PATIENCE_MILLIS = 10_000
        const val MILLIS_PER_SECOND = 1_000
    }
}

/** The body of the request with [id]. */
internal fun requestBody(id: String) = "request body of $id"
