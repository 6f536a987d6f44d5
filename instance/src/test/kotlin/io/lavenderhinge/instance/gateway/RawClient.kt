package io.lavenderhinge.instance.gateway

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket

/** The bytes that a client has received until its connection ended. */
internal class RawAnswer(private val text: String) {
    /** The status as it was sent, which may have fewer than three digits. */
    val status: Int = text.split(' ')[1].toInt()

    private val head = text.substringBefore("\r\n\r\n").lowercase()
    private val body = text.substringAfter("\r\n\r\n")

    /** True if the client can tell that the answer is complete. */
    val isWhole: Boolean
        get() =
            if ("transfer-encoding: chunked" in head) body.endsWith("0\r\n\r\n")
            else "content-length: ${body.length}" in head

    /** The body without its framing. */
    val content: String
        get() =
            if ("transfer-encoding: chunked" !in head) body
            else body.replace(Regex("(?m)^[0-9a-f]+\r\n"), "").replace("\r\n", "")
}

/** How a client states the end of its request body. */
internal enum class UploadFraming {
    LENGTH,
    CHUNKED,
}

/** Sends a request with [body] to [path] and reads until the gateway closes the connection. */
internal fun GatewayHarness.upload(path: String, body: String, framing: UploadFraming): RawAnswer =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = READ_TIMEOUT_MILLIS
        val (field, content) =
            when (framing) {
                UploadFraming.LENGTH -> "Content-Length: ${body.length}" to body
                UploadFraming.CHUNKED ->
                    "Transfer-Encoding: chunked" to
                        body.chunked(CHUNK_CHARS).joinToString("") {
                            ScriptedBackendServer.chunk(it)
                        } + ScriptedBackendServer.chunk("")
            }
        val head =
            "POST $path HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Lavenderhinge-Key: k\r\n" +
                "X-Lavenderhinge-Deadline-Remaining: 3000\r\n" +
                "X-Lavenderhinge-Request-Id: up\r\n$field\r\n\r\n"
        socket.getOutputStream().write((head + content).toByteArray())
        RawAnswer(readToEnd(socket))
    }

private fun readToEnd(socket: Socket): String {
    val received = ByteArrayOutputStream()
    try {
        socket.getInputStream().copyTo(received)
    } catch (_: IOException) {
        // A reset ends the answer like a close; what counts is its framing.
    }
    return received.toString()
}

private const val READ_TIMEOUT_MILLIS = 10_000
private const val CHUNK_CHARS = 50_000
