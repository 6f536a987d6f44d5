package io.lavenderhinge.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel

/**
 * An HTTP/1.1 server on Netty with keep-alive, ordered pipelining, chunked streaming and [limits].
 *
 * Handlers run as coroutines on the event loop of their connection and must not block.
 */
class HttpServer(
    private val group: EventLoopGroup,
    private val handler: HttpHandler,
    private val limits: HttpLimits = HttpLimits(),
    private val faults: HttpFaultRenderer = ProblemRenderer,
) {
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val connections = AtomicInteger()
    private val supervisor = SupervisorJob()
    private val draining = AtomicBoolean()
    private lateinit var listener: Channel

    /** The bound port; differs from the requested port if that was 0. */
    val port: Int
        get() = (listener.localAddress() as InetSocketAddress).port

    /** Number of open connections; after [drain], those with a request that is not answered yet. */
    val connectionCount: Int
        get() = connections.get()

    /** Binds [address] and starts accepting connections. */
    fun start(address: InetSocketAddress): HttpServer = start(address, ::NioServerSocketChannel)

    /** Takes over the socket of [prebound] and starts accepting its connections. */
    fun start(prebound: PreboundListener): HttpServer = start(prebound.address, prebound::channel)

    private fun start(
        address: InetSocketAddress,
        channelFactory: () -> NioServerSocketChannel,
    ): HttpServer = apply {
        listener =
            ServerBootstrap()
                .group(group)
                .channelFactory(ChannelFactory { channelFactory() })
                .option(ChannelOption.SO_BACKLOG, PreboundListener.BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialize(channel)
                    }
                )
                .bind(address)
                .sync()
                .channel()
    }

    /** Closes each connection after its next response; new connections are still accepted. */
    fun disableKeepAlive() {
        draining.set(true)
    }

    /**
     * Stops accepting connections and closes idle ones. Requests in progress are answered, after
     * which their connections close. A connection without any request so far is closed a moment
     * later, unless its first request arrives.
     */
    fun drain() {
        draining.set(true)
        listener.close().sync()
        channels.forEach { it.pipeline().fireUserEventTriggered(DrainEvent) }
    }

    /** Closes the listener and every connection. */
    fun close() {
        listener.close().sync()
        supervisor.cancel()
        channels.close().sync()
    }

    private fun initialize(channel: SocketChannel) {
        val decoder =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxRequestLineBytes)
                .setMaxHeaderSize(limits.maxHeadBytes)
        channel.pipeline().addLast(StrictRequestDecoder(decoder), HttpResponseEncoder())
        if (connections.incrementAndGet() > limits.maxConnections) {
            connections.decrementAndGet()
            channel.pipeline().addLast(ConnectionLimitHandler(faults))
            return
        }
        channel.closeFuture().addListener { connections.decrementAndGet() }
        channels.add(channel)
        val scope = CoroutineScope(supervisor + channel.eventLoop().asCoroutineDispatcher())
        channel.pipeline().addLast(ServerConnection(scope, limits, handler, faults, draining::get))
    }
}
