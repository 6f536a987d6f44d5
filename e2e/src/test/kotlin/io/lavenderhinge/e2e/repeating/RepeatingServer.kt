package io.lavenderhinge.e2e.repeating

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.concurrent.thread

/** A request as a server received it. */
internal class ServerRequest(head: MessageHead, val body: String) {
    val id: String = head.fields["x-lavenderhinge-request-id"].orEmpty()
    val path: String = head.startLine.split(' ')[1]
    val isStream: Boolean = path.startsWith(STREAM_PREFIX)
}

/**
 * A fake backend server that answers some requests twice, the second time late, as [planner] says.
 */
internal class RepeatingServer(
    val id: String,
    private val planner: AnswerPlanner,
    private val log: ServerLog,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val timer = Executors.newSingleThreadScheduledExecutor()

    val port: Int
        get() = listener.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    override fun close() {
        listener.close()
        timer.shutdownNow()
        sockets.forEach(Socket::close)
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val socket =
                try {
                    listener.accept()
                } catch (_: IOException) {
                    return
                }
            socket.tcpNoDelay = true
            sockets += socket
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.use { RepeatingConnection(id, it, planner, log, timer).serve() }
        } catch (_: IOException) {
            // The gateway closes connections on which an answer was sent twice.
        } finally {
            sockets -= socket
        }
    }

    private companion object {
        const val BACKLOG = 64
    }
}
