package io.lavenderhinge.instance.gateway

import com.google.protobuf.InvalidProtocolBufferException
import io.lavenderhinge.core.forwarding.QuotaLimiter
import io.lavenderhinge.core.forwarding.QuotaReport
import io.lavenderhinge.core.forwarding.ReportPacing
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

/** Identity of this instance in its load reports. */
internal class ReportIdentity(val id: String, val incarnation: Long, val address: Address)

/** What this instance knows of the state in the store, for peers that know less. */
internal class KnownVersions(
    val configuration: () -> Long,
    val servers: () -> Long,
    val evacuations: () -> Long,
    /** True if the server list is watched in the store and the store answers. */
    val isWatchingServers: () -> Boolean,
    /** Time in milliseconds since the store answered; null if it never did. */
    val storeAnswerAgeMillis: () -> Long?,
)

/**
 * Exchanges load reports with the other instances over UDP. Each report replaces the previous one,
 * so lost reports need no retransmission. Confined to the traffic thread.
 */
internal class LoadReportExchange(
    private val self: ReportIdentity,
    private val seeds: List<Address>,
    private val loop: TrafficLoop,
    private val allocator: SlotAllocator,
    private val quotas: QuotaLimiter,
    private val versions: KnownVersions,
) {
    private val peers = PeerTable()
    private lateinit var channel: Channel
    private var sequence = 0L
    private var lastSentMillis = 0L
    private var rolloutsLastSentMillis = 0L
    private var hasUnsentChanges = false
    private var isSendScheduled = false
    private var isUrgentSendScheduled = false

    /** Called with each report that is not stale. */
    var onReport: (LoadReport) -> Unit = {}

    /** Ids of the other instances. */
    val peerIds: Set<String>
        get() = peers.ids

    /** Starts receiving and sending reports. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .handler(DatagramReceiver())
                .bind(InetSocketAddress(self.address.ip, self.address.port))
                .sync()
                .channel()
        allocator.onChange = ::scheduleSend
        loop.every(HEARTBEAT_MILLIS) {
            peers.expire(loop.nowMillis())
            val intervalMillis = maxOf(HEARTBEAT_MILLIS, pauseMillis())
            if (loop.nowMillis() - lastSentMillis >= intervalMillis) send()
        }
    }

    /** Updates the peers from the list of instances in the store. */
    fun onMembers(members: Map<String, Address>) = peers.onMembersListed(members, loop.nowMillis())

    /** Returns the address of the peer [id], or null if it is unknown. */
    fun address(id: String): Address? = peers.address(id)

    /** Sends a report soon, because a peer may be waiting for the state that this instance has. */
    fun onStateChanged() = scheduleSend()

    /** Sends a report without the usual pause, because peers may break a limit without it. */
    fun onUrgentChange() {
        hasUnsentChanges = true
        if (isUrgentSendScheduled) return
        isUrgentSendScheduled = true
        loop.after(URGENT_DELAY_MILLIS) {
            isUrgentSendScheduled = false
            if (hasUnsentChanges) send()
        }
    }

    // Batches changes into one report.
    private fun pauseMillis(): Long = ReportPacing.pauseMillis(peers.ids.size)

    private fun scheduleSend() {
        hasUnsentChanges = true
        if (isSendScheduled) return
        isSendScheduled = true
        val delayMillis = (lastSentMillis + pauseMillis() - loop.nowMillis()).coerceAtLeast(1)
        loop.after(delayMillis) {
            isSendScheduled = false
            if (hasUnsentChanges) send()
        }
    }

    private fun send() {
        hasUnsentChanges = false
        lastSentMillis = loop.nowMillis()
        loop.load.measured(TrafficActivity.REPORTS, ::sendToPeers)
    }

    private fun sendToPeers() {
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
                .setEvacuationRevision(versions.evacuations())
                .setWatchesServers(versions.isWatchingServers())
                .addLoad(allocator.report(), quotas.totals, quotas.returned)
        versions.storeAnswerAgeMillis()?.let(builder::setStoreAnswerAgeMillis)
        if (lastSentMillis - rolloutsLastSentMillis >= ROLLOUT_REPORT_INTERVAL_MILLIS) {
            rolloutsLastSentMillis = lastSentMillis
            allocator.rollouts.reports(lastSentMillis).forEach {
                builder.addRollouts(it.toMessage())
            }
        }
        return builder
    }

    private fun receive(bytes: ByteArray) {
        val report =
            try {
                LoadReport.parseFrom(bytes)
            } catch (e: InvalidProtocolBufferException) {
                log.warn("peers: ignoring malformed datagram: {}", e.message)
                return
            }
        val nowMillis = loop.nowMillis()
        if (report.instanceId == self.id || !peers.onReport(report, nowMillis)) return
        // Clock skew between machines is small compared to the quota window.
        val ageMillis = System.currentTimeMillis() - report.incarnation
        val quotaReport =
            QuotaReport(report.incarnation, ageMillis, report.toSpending(), report.toReturned())
        quotas.onPeerReport(report.instanceId, quotaReport, nowMillis)
        allocator.onPeerReport(report.instanceId, report.toReport())
        allocator.rollouts.onPeerReport(report.instanceId, report.toRollouts(), nowMillis)
        onReport(report)
    }

    private inner class DatagramReceiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) =
            loop.load.measured(TrafficActivity.REPORTS) {
                receive(ByteBufUtil.getBytes(packet.content()))
            }

        @Deprecated("Netty's callback for pipeline errors")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            log.warn("peers: failed to receive a datagram: {}", cause.toString())
        }
    }

    private companion object {
        const val HEARTBEAT_MILLIS = 250L
        /** Batches the news of several servers that become cold together. */
        const val URGENT_DELAY_MILLIS = 2L
        /** Per-route counts are large, and rollouts progress over seconds. */
        const val ROLLOUT_REPORT_INTERVAL_MILLIS = 150L
        val log = LoggerFactory.getLogger(LoadReportExchange::class.java)
    }
}
