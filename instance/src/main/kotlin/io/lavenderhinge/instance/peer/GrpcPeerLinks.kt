package io.lavenderhinge.instance.peer

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.Hello
import io.lavenderhinge.protocol.v1.PeerGrpc
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.logging.Level
import java.util.logging.Logger
import org.slf4j.LoggerFactory

/** Identity that this instance presents to its peers. */
data class PeerIdentity(val id: String, val failureDomain: String, val region: String)

/**
 * Peer links over gRPC. Each instance opens its own stream to every peer that it sends to, and
 * receives on the streams that peers open; a pair that sends in both directions has two streams.
 *
 * [addressOf] gives the peer port of a live instance, or null when it is unknown.
 */
class GrpcPeerLinks(
    private val identity: PeerIdentity,
    private val control: ControlThread,
    private val addressOf: (instanceId: String) -> InetSocketAddress?,
) : PeerLinks, AutoCloseable {
    private val receivers = mutableListOf<FrameReceiver>()
    private val linkLostListeners = mutableListOf<(String) -> Unit>()
    private val links = mutableMapOf<String, OutboundLink>()
    private lateinit var server: Server

    override val selfId: String
        get() = identity.id

    /** The bound port, which differs from the requested one when that was 0. */
    val port: Int
        get() = server.port

    /** Starts to accept streams of peers and to check the links of this instance. */
    fun start(address: InetSocketAddress) {
        grpcLogger.level = Level.WARNING
        server =
            NettyServerBuilder.forAddress(address)
                .addService(PeerEndpoint())
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .permitKeepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
                .build()
                .start()
        control.every(CHECK_MILLIS) { checkLinks() }
    }

    override fun send(instanceId: String, frame: Frame): Boolean {
        if (instanceId == selfId) {
            control.execute { deliver(selfId, frame) }
            return true
        }
        val link = links[instanceId] ?: open(instanceId) ?: return false
        return link.send(frame)
    }

    override fun onFrame(receiver: FrameReceiver) {
        receivers.add(receiver)
    }

    override fun onLinkLost(listener: (instanceId: String) -> Unit) {
        linkLostListeners.add(listener)
    }

    override fun close() {
        server.shutdownNow()
        links.values.forEach { it.close() }
    }

    private fun open(instanceId: String): OutboundLink? {
        val address = addressOf(instanceId) ?: return null
        val hello =
            Hello.newBuilder()
                .setInstanceId(identity.id)
                .setFailureDomain(identity.failureDomain)
                .setRegion(identity.region)
                .build()
        val link = OutboundLink(address, hello, control) { handleLinkLost(instanceId, it) }
        links[instanceId] = link
        link.connect()
        return link
    }

    private fun handleLinkLost(instanceId: String, link: OutboundLink) {
        if (!links.remove(instanceId, link)) return
        link.close()
        log.info("peer: link to {} was lost", instanceId)
        linkLostListeners.forEach { it(instanceId) }
    }

    private fun checkLinks() {
        val nowMillis = control.nowMillis()
        links.entries.toList().forEach { (instanceId, link) ->
            when (link.check(nowMillis)) {
                LinkState.LIVE -> Unit
                LinkState.SILENT -> {
                    link.close()
                    handleLinkLost(instanceId, link)
                }
                LinkState.IDLE -> {
                    links.remove(instanceId)
                    link.close()
                }
            }
        }
    }

    private fun deliver(from: String, frame: Frame) = receivers.forEach { it.receive(from, frame) }

    private inner class PeerEndpoint : PeerGrpc.PeerImplBase() {
        override fun link(responses: StreamObserver<Frame>): StreamObserver<Frame> =
            InboundLink(responses, control) { from, frame -> deliver(from, frame) }
    }

    private companion object {
        // A strong reference, because java.util.logging loses the level when the logger is
        // garbage-collected.
        val grpcLogger: Logger = Logger.getLogger("io.grpc")
        const val MAXIMUM_MESSAGE_BYTES = 2_097_152
        const val KEEPALIVE_SECONDS = 20L
        const val CHECK_MILLIS = 500L
        val log = LoggerFactory.getLogger(GrpcPeerLinks::class.java)
    }
}
