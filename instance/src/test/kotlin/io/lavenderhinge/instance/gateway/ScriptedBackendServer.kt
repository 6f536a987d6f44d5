package io.lavenderhinge.instance.gateway

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Action of a scripted server for one request. */
internal sealed interface ServerAction {
    /** Sends [text] verbatim and keeps the connection open. */
    data class Send(val text: String) : ServerAction

    /**
     * Sends [text], and [copy] when the next request arrives on the connection. The first
     * [earlyBytes] bytes of the copy are sent right after [text].
     */
    data class SendTwice(val text: String, val copy: String = text, val earlyBytes: Int = 0) :
        ServerAction

    /** Sends [text] and closes the connection. */
    data class SendAndClose(val text: String) : ServerAction

    /** Sends [text], waits until it has arrived, and resets the connection. */
    data class SendAndReset(val text: String) : ServerAction

    /** Sends nothing until the peer closes the connection. */
    data object AwaitClose : ServerAction

    /** Send [head], then each of [parts] after a pause. */
    data class Paced(val head: String, val parts: List<String>, val pauseMillis: Long) :
        ServerAction

    /** Sends [head], and [rest] once [signal] has been released. */
    data class SendOnSignal(val head: String, val signal: CountDownLatch, val rest: String) :
        ServerAction

    /** Send [head], then [part] again and again with a pause until the peer closes. */
    data class Trickle(val head: String, val part: String, val pauseMillis: Long) : ServerAction

    /** Send [head], then [part] again and again without a pause until the peer closes. */
    data class Flood(val head: String, val part: String) : ServerAction
}

/**
 * A fake backend server whose raw response bytes are determined by [script]. It simulates servers
 * that send truncated, duplicate or invalid responses.
 */
internal class ScriptedBackendServer(private val script: (request: String) -> ServerAction) :
    AutoCloseable {
    private val listener =
        ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")).apply {
            // The system would take in several megabytes of a request that is not read.
            receiveBufferSize = RECEIVE_BUFFER_BYTES
        }
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Returns the action for a request whose body is not read, or null to read the body. */
    @Volatile var onHead: (head: String) -> ServerAction? = { null }

    /** Raw requests with head and body, as far as they were read. */
    val requests = CopyOnWriteArrayList<String>()

    /** Released when the peer closes a connection during [ServerAction.AwaitClose]. */
    val closedByPeer = CountDownLatch(1)

    val port: Int
        get() = listener.localPort

    /** Number of connections that were accepted. */
    val connectionCount: Int
        get() = sockets.size

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                sockets += socket
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        var secondCopy = ""
        while (true) {
            val head = readHead(socket.getInputStream()) ?: return
            val earlyAction = onHead(head)
            val request = if (earlyAction == null) head + readBody(socket, head) else head
            requests += request
            send(socket, secondCopy)
            secondCopy = ""
            val action = earlyAction ?: script(request)
            when (action) {
                is ServerAction.Send -> send(socket, action.text)
                is ServerAction.SendTwice -> {
                    send(socket, action.text + action.copy.take(action.earlyBytes))
                    secondCopy = action.copy.drop(action.earlyBytes)
                }
                is ServerAction.SendAndClose -> {
                    send(socket, action.text)
                    return socket.close()
                }
                is ServerAction.SendAndReset -> {
                    sendAfterPause(socket, action.text, pauseMillis = 0)
                    Thread.sleep(RESET_PAUSE_MILLIS)
                    socket.setSoLinger(true, 0)
                    return socket.close()
                }
                is ServerAction.Paced -> {
                    send(socket, action.head)
                    action.parts.forEach { sendAfterPause(socket, it, action.pauseMillis) }
                }
                is ServerAction.SendOnSignal -> {
                    send(socket, action.head)
                    action.signal.await()
                    send(socket, action.rest)
                }
                is ServerAction.Trickle -> {
                    send(socket, action.head)
                    while (true) sendAfterPause(socket, action.part, action.pauseMillis)
                }
                is ServerAction.Flood -> {
                    send(socket, action.head)
                    while (true) send(socket, action.part)
                }
                is ServerAction.AwaitClose -> {
                    socket.getInputStream().read()
                    return closedByPeer.countDown()
                }
            }
        }
    }

    private fun sendAfterPause(socket: Socket, text: String, pauseMillis: Long) {
        Thread.sleep(pauseMillis)
        send(socket, text)
    }

    private fun send(socket: Socket, text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    private fun readBody(socket: Socket, head: String): String {
        val length =
            Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        return String(socket.getInputStream().readNBytes(length))
    }

    companion object {
        private const val BACKLOG = 16
        private const val RECEIVE_BUFFER_BYTES = 65_536
        private const val RESET_PAUSE_MILLIS = 50L

        /** A complete server response to [request]. */
        fun rawResponse(
            request: String,
            status: String,
            body: String,
            fields: String = "",
        ): String =
            "HTTP/1.1 $status\r\n" +
                "X-Lavenderhinge-Request-Id: ${idOf(request)}\r\n" +
                "X-Lavenderhinge-Server-Signature: s1\r\n$fields" +
                "Content-Length: ${body.length}\r\n\r\n$body"

        /** A response that states that the server did not execute [request]. */
        fun refusal(request: String): String =
            rawResponse(request, "503 Full", "", "X-Lavenderhinge-Not-Executed: 1\r\n")

        /** The response head of a stream. */
        fun streamHead(request: String): String =
            "HTTP/1.1 200 OK\r\nX-Lavenderhinge-Request-Id: ${idOf(request)}\r\n" +
                "X-Lavenderhinge-Server-Signature: s1\r\nContent-Type: text/event-stream\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n"

        /** [head] without length and chunks: the body ends with the connection. */
        fun unframed(head: String): String =
            head
                .replace("Transfer-Encoding: chunked\r\n", "")
                .replace(Regex("Content-Length: \\d+\r\n"), "")

        /** [text] encoded as one body chunk. */
        fun chunk(text: String): String = "${text.length.toString(radix = 16)}\r\n$text\r\n"

        private fun idOf(request: String): String =
            Regex("X-Lavenderhinge-Request-Id: (\\S+)").find(request)?.groupValues?.get(1).orEmpty()
    }
}
