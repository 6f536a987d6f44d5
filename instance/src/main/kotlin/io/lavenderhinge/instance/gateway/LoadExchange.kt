package io.lavenderhinge.instance.gateway

import com.google.protobuf.InvalidProtocolBufferException
import io.lavenderhinge.core.forwarding.QuotaLimiter
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.protocol.v1.LoadReport
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import org.slf4j.LoggerFactory

/** Who this instance is in its reports. */
internal class ReportIdentity(val id: String, val incarnation: Long, val address: Address)

/** Versions of what this instance knows, for peers that may lack it. */
internal class KnownVersions(val configuration: () -> Long, val servers: () -> Long)

/**
 * Exchanges load reports with the other instances as datagrams: each report replaces the one
 * before, so there is nothing to repeat and nothing to queue. Confined to the traffic thread.
 */
internal class LoadExchange(
    private val self: ReportIdentity,
    private val seeds: List<Address>,
    private val loop: TrafficLoop,
    private val broker: SlotBroker,
    private val quotas: QuotaLimiter,
    private val versions: KnownVersions,
) {
    private val peers = PeerTable()
    private lateinit var channel: Channel
    private var sequence = 0L
    private var sentMillis = 0L
    private var rolloutsSentMillis = 0L
    private var isChanged = false
    private var isScheduled = false

    /** Called with each report that is new. */
    var onReport: (LoadReport) -> Unit = {}

    /** Ids of the other instances. */
    val peerIds: Set<String>
        get() = peers.ids

    /** Starts to listen and to send. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(InetSocketAddress(self.address.ip, self.address.port))
                .sync()
                .channel()
        broker.onChange = ::changed
        loop.every(HEARTBEAT_MILLIS) {
            peers.expire(loop.nowMillis())
            if (loop.nowMillis() - sentMillis >= HEARTBEAT_MILLIS) send()
        }
    }

    /** Takes over the list of instances that the store holds. */
    fun onMembers(members: Map<String, Address>) = peers.onListed(members, loop.nowMillis())

    /** The address of the peer [id], or null. */
    fun address(id: String): Address? = peers.address(id)

    // Changes of a few milliseconds go out together; the pause grows with the fleet, so that the
    // datagrams that an instance handles do not.
    private fun changed() {
        isChanged = true
        if (isScheduled) return
        isScheduled = true
        val pauseMillis = maxOf(MIN_PAUSE_MILLIS, peers.ids.size * PAUSE_FOR_EACH_PEER_MILLIS)
        val delayMillis = (sentMillis + pauseMillis - loop.nowMillis()).coerceAtLeast(1)
        loop.after(delayMillis) {
            isScheduled = false
            if (isChanged) send()
        }
    }

    private fun send() {
        isChanged = false
        sentMillis = loop.nowMillis()
        val message = reportBuilder().build().toByteArray()
        val addresses = if (peers.ids.isEmpty()) seeds - self.address else peers.addresses
        addresses.forEach {
            val target = InetSocketAddress(it.ip, it.port)
            channel.write(DatagramPacket(Unpooled.wrappedBuffer(message), target))
        }
        channel.flush()
    }

    private fun reportBuilder(): LoadReport.Builder {
        val builder =
            LoadReport.newBuilder()
                .setInstanceId(self.id)
                .setIncarnation(self.incarnation)
                .setSequence(++sequence)
                .setIp(self.address.ip)
                .setPeerPort(self.address.port)
                .setConfigurationVersion(versions.configuration())
                .setServerRevision(versions.servers())
                .with(broker.report(), quotas.totals)
        if (sentMillis - rolloutsSentMillis >= ROLLOUTS_MILLIS) {
            rolloutsSentMillis = sentMillis
            broker.rollouts.reports(sentMillis).forEach { builder.addRollouts(it.toMessage()) }
        }
        return builder
    }

    private fun receive(bytes: ByteArray) {
        val report =
            try {
                LoadReport.parseFrom(bytes)
            } catch (e: InvalidProtocolBufferException) {
                log.warn("peers: a datagram was ignored: {}", e.message)
                return
            }
        val nowMillis = loop.nowMillis()
        if (report.instanceId == self.id || !peers.onReport(report, nowMillis)) return
        val spending = report.toSpending()
        // Clocks of the machines differ by little compared to the window of a quota.
        val ageMillis = System.currentTimeMillis() - report.incarnation
        quotas.onPeerReport(report.instanceId, report.incarnation, ageMillis, spending, nowMillis)
        broker.onPeerReport(report.instanceId, report.toReport())
        broker.rollouts.onPeerReport(report.instanceId, report.toRollouts(), nowMillis)
        onReport(report)
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) =
            receive(ByteBufUtil.getBytes(packet.content()))

        @Deprecated("Netty's callback for errors of the pipeline")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            log.warn("peers: receiving failed: {}", cause.toString())
        }
    }

    private companion object {
        const val HEARTBEAT_MILLIS = 250L
        /** Counts by route are many bytes, and rollouts move in seconds. */
        const val ROLLOUTS_MILLIS = 150L
        const val MIN_PAUSE_MILLIS = 15L
        const val PAUSE_FOR_EACH_PEER_MILLIS = 3L
        val log = LoggerFactory.getLogger(LoadExchange::class.java)
    }
}
