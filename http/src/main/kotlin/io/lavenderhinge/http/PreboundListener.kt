package io.lavenderhinge.http

import io.netty.channel.socket.nio.NioServerSocketChannel
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.nio.channels.ServerSocketChannel

/**
 * Listens on an address before an [HttpServer] takes it over. Connections that arrive during
 * process startup wait in the backlog instead of being refused.
 */
class PreboundListener private constructor(private val socket: ServerSocketChannel) :
    AutoCloseable {
    /** The bound address. */
    val address: InetSocketAddress
        get() = socket.localAddress as InetSocketAddress

    /** Creates a channel that accepts the connections in the backlog. */
    internal fun channel(): NioServerSocketChannel = BoundChannel(socket)

    override fun close() = socket.close()

    private class BoundChannel(socket: ServerSocketChannel) : NioServerSocketChannel(socket) {
        // The socket is already bound, and binding it again would fail.
        override fun doBind(localAddress: SocketAddress) = Unit
    }

    /** Opens listeners. */
    companion object {
        internal const val BACKLOG = 1_024

        /** Starts listening on [address]; throws an `IOException` if it is already in use. */
        fun bind(address: InetSocketAddress): PreboundListener =
            PreboundListener(ServerSocketChannel.open().bind(address, BACKLOG))
    }
}
