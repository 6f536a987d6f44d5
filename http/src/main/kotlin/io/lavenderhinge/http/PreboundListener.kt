package io.lavenderhinge.http

import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.nio.channels.ServerSocketChannel

/**
 * Listens on an address before an [HttpServer] takes it over. Connections that arrive while the
 * process still starts wait in the backlog instead of being refused.
 */
class PreboundListener private constructor(private val socket: ServerSocketChannel) :
    AutoCloseable {
    /** The address in use. */
    val address: InetSocketAddress
        get() = socket.localAddress as InetSocketAddress

    /** The channel that accepts the waiting connections. */
    internal fun channel(): NioServerSocketChannel = BoundChannel(socket)

    override fun close() = socket.close()

    private class BoundChannel(socket: ServerSocketChannel) : NioServerSocketChannel(socket) {
        // The socket is bound already, and binding it twice fails.
        override fun doBind(localAddress: SocketAddress) = Unit
    }

    /** Opens listeners. */
    companion object {
        internal const val BACKLOG = 1_024

        /** Starts to listen on [address]; throws an `IOException` when it is in use. */
        fun bind(address: InetSocketAddress): PreboundListener =
            PreboundListener(ServerSocketChannel.open().bind(address, BACKLOG))
    }
}
