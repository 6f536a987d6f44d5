package io.lavenderhinge.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

internal val loopback: InetAddress = InetAddress.getLoopbackAddress()

internal fun testGroup() = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())

internal fun serve(limits: HttpLimits = HttpLimits(), handler: HttpHandler): HttpServer =
    HttpServer(testGroup(), handler, limits).start(InetSocketAddress(loopback, 0))

internal val HttpServer.address
    get() = InetSocketAddress(loopback, port)

internal fun get(path: String) = HttpRequest("GET", path, "", DefaultHttpHeaders(), ByteArray(0))

/** Sends [bytes] and returns everything received until the connection closes. */
internal fun sendRaw(address: InetSocketAddress, bytes: String): String =
    Socket(address.address, address.port).use { socket ->
        socket.soTimeout = 10_000
        socket.getOutputStream().write(bytes.toByteArray(Charsets.ISO_8859_1))
        socket.getInputStream().readBytes().toString(Charsets.ISO_8859_1)
    }

/** Starts a server that accepts one connection, reads a request, sends [response] and closes. */
internal fun serveOnce(response: String): InetSocketAddress {
    val listener = ServerSocket(0, 1, loopback)
    thread(isDaemon = true) {
        listener.use { server ->
            server.accept().use { socket ->
                socket.getInputStream().read(ByteArray(4_096))
                socket.getOutputStream().write(response.toByteArray())
            }
        }
    }
    return InetSocketAddress(loopback, listener.localPort)
}
