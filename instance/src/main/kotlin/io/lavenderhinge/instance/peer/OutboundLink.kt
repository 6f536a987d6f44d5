package io.lavenderhinge.instance.peer

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCallStreamObserver
import io.grpc.stub.ClientResponseObserver
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.Hello
import io.lavenderhinge.protocol.v1.PeerGrpc
import java.net.InetSocketAddress

/** Result of the check of a link. */
internal enum class LinkState {
    LIVE,
    /** Frames were sent and the peer has not answered a probe for [OutboundLink.SILENCE_MILLIS]. */
    SILENT,
    /** Nothing was sent for [OutboundLink.IDLE_MILLIS]. */
    IDLE,
}

/** Protocol version of the frames that this release sends. */
internal const val PROTOCOL_VERSION = 1

/**
 * A stream that this instance opened. Confined to the control thread.
 *
 * A connection can stop delivering while both ends consider it open, so a probe follows the frames
 * that were sent, and a link without a reply to it is closed. Idle links are not probed.
 */
internal class OutboundLink(
    address: InetSocketAddress,
    private val hello: Hello,
    private val control: ControlThread,
    private val onLost: (OutboundLink) -> Unit,
) {
    private val channel: ManagedChannel =
        NettyChannelBuilder.forAddress(address)
            .usePlaintext()
            .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
            .build()
    private lateinit var requests: ClientCallStreamObserver<Frame>
    private val sendQueue = ArrayDeque<Frame>()
    private var lastSentMillis = control.nowMillis()
    private var probeSentMillis: Long? = null
    private var needsProbe = false

    fun connect() {
        PeerGrpc.newStub(channel).link(Responses())
        probe(control.nowMillis())
    }

    /** Queues [frame]; returns false when the queue is full. */
    fun send(frame: Frame): Boolean {
        if (sendQueue.size >= MAXIMUM_QUEUED_FRAMES) return false
        sendQueue.addLast(frame.toBuilder().setProtocolVersion(PROTOCOL_VERSION).build())
        lastSentMillis = control.nowMillis()
        needsProbe = true
        flush()
        return true
    }

    fun check(nowMillis: Long): LinkState {
        val sentMillis = probeSentMillis
        if (sentMillis != null) {
            return if (nowMillis - sentMillis > SILENCE_MILLIS) LinkState.SILENT else LinkState.LIVE
        }
        if (needsProbe) probe(nowMillis)
        return if (nowMillis - lastSentMillis > IDLE_MILLIS) LinkState.IDLE else LinkState.LIVE
    }

    fun close() {
        channel.shutdownNow()
    }

    private fun probe(nowMillis: Long) {
        sendQueue.addLast(
            Frame.newBuilder().setProtocolVersion(PROTOCOL_VERSION).setHello(hello).build()
        )
        probeSentMillis = nowMillis
        needsProbe = false
        flush()
    }

    private fun flush() {
        while (sendQueue.isNotEmpty() && requests.isReady) requests.onNext(sendQueue.removeFirst())
    }

    private inner class Responses : ClientResponseObserver<Frame, Frame> {
        override fun beforeStart(stream: ClientCallStreamObserver<Frame>) {
            requests = stream
            stream.setOnReadyHandler { control.execute(::flush) }
        }

        override fun onNext(frame: Frame) = control.execute { probeSentMillis = null }

        override fun onError(cause: Throwable) = control.execute { onLost(this@OutboundLink) }

        override fun onCompleted() = control.execute { onLost(this@OutboundLink) }
    }

    companion object {
        const val SILENCE_MILLIS = 2_000L
        const val IDLE_MILLIS = 60_000L
        private const val MAXIMUM_QUEUED_FRAMES = 4_096
        private const val MAXIMUM_MESSAGE_BYTES = 2_097_152
    }
}
