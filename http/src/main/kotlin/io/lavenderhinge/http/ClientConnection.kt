package io.lavenderhinge.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse as NettyResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException

/** Event that a connection delivers for the request in progress. */
internal sealed interface ClientEvent {
    class Head(val response: NettyResponse) : ClientEvent

    class Chunk(val bytes: ByteArray) : ClientEvent

    class End(val reusable: Boolean) : ClientEvent

    /** The server sent bytes that are not a response; the connection is closed. */
    data object Malformed : ClientEvent
}

/** A client connection that carries one request at a time. */
internal class ClientConnection(private val decoder: ResponseDecoder) :
    ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val bufferedBytes = AtomicInteger()
    private var reusable = true
    private var skipping = false
    private var hasCarriedResponse = false
    private var skippedCount = 0
    private var matcher = responsesInOrder
    @Volatile private var events = Channel<ClientEvent>(Channel.UNLIMITED)

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /**
     * Sends [request]. Responses that belong to another request according to [matcher] are skipped,
     * as are interim (1xx) responses. Nothing is sent if [isAllowed] returns false.
     */
    suspend fun send(
        request: HttpRequest,
        address: InetSocketAddress,
        matcher: ResponseMatcher,
        isAllowed: () -> Boolean,
    ) {
        events = Channel(Channel.UNLIMITED)
        this.matcher = matcher
        skippedCount = 0
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.target,
                Unpooled.wrappedBuffer(request.body),
            )
        message.headers().set(request.headers)
        if (!request.headers.contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
        }
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        decoder.onRequest(message.method())
        try {
            write(message, isAllowed).awaitDone()
        } catch (e: java.io.IOException) {
            throw HttpCallException.OutcomeUnknown(
                "the connection failed while the request was being sent",
                LossReason.CONNECTION_CLOSED,
                e,
            )
        }
    }

    // Only the event loop can tell whether the connection was closed before anything was written.
    private fun write(message: FullHttpRequest, isAllowed: () -> Boolean): ChannelFuture {
        val sent = context.newPromise()
        fun fail(reason: String) {
            message.release()
            sent.setFailure(HttpCallException.NotSent(reason))
        }
        val write = Runnable {
            if (!context.channel().isActive) fail("the server closed the connection")
            else if (!isAllowed()) fail("the request was withheld")
            else context.writeAndFlush(message, sent)
        }
        if (context.executor().inEventLoop()) write.run() else context.executor().execute(write)
        return sent
    }

    /**
     * Returns the next event, or null if the connection closed before the response was complete.
     */
    suspend fun next(): ClientEvent? {
        val event =
            try {
                events.receive()
            } catch (_: ClosedReceiveChannelException) {
                return null
            }
        if (event is ClientEvent.Chunk) onConsumed(event.bytes.size)
        return event
    }

    fun close() {
        context.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) handleMessage(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        events.close()
    }

    @Deprecated("Netty's callback for pipeline errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        events.close()
        ctx.close()
    }

    private fun handleMessage(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            val isTruncated = message.decoderResult().cause() is PrematureChannelClosureException
            if (!isTruncated) events.trySend(ClientEvent.Malformed)
            return closeConnection()
        }
        if (!decoder.isRequestInProgress) {
            // Data after a complete response belongs to no request.
            context.close()
            return
        }
        if (message is NettyResponse) startResponse(message)
        if (skipping) {
            if (message is LastHttpContent) skipping = false
            return
        }
        if (message is HttpContent && message.content().isReadable) deliver(message)
        if (message is LastHttpContent) {
            decoder.onResponseComplete()
            events.trySend(ClientEvent.End(reusable && !decoder.hasSurplusBytes))
        }
    }

    private fun closeConnection() {
        events.close()
        context.close()
    }

    private fun startResponse(response: NettyResponse) {
        if (response.isMixedHead() || !response.hasValidStatus()) return rejectResponse()
        skipping = !isOwnResponse(response)
        if (!skipping) {
            events.trySend(ClientEvent.Head(response))
        } else if (++skippedCount > MAX_SKIPPED_RESPONSES) {
            rejectResponse()
        }
    }

    private fun isOwnResponse(response: NettyResponse): Boolean {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return false
        val attribution = matcher.attribute(headOf(response))
        hasCarriedResponse = true
        // After a response of another request, more of them may follow.
        val allowsReuse =
            attribution == ResponseAttribution.IDENTIFIED && HttpUtil.isKeepAlive(response)
        if (!allowsReuse) reusable = false
        return attribution != ResponseAttribution.OTHER_REQUEST
    }

    private fun rejectResponse() {
        skipping = true
        events.trySend(ClientEvent.Malformed)
        closeConnection()
    }

    private fun headOf(response: NettyResponse) =
        ResponseHead(response.status().code(), response.headers(), !hasCarriedResponse)

    private fun deliver(content: HttpContent) {
        val bytes = ByteBufUtil.getBytes(content.content())
        if (bufferedBytes.addAndGet(bytes.size) > HIGH_WATER_BYTES) {
            context.channel().config().isAutoRead = false
        }
        events.trySend(ClientEvent.Chunk(bytes))
    }

    private fun onConsumed(sizeBytes: Int) {
        if (bufferedBytes.addAndGet(-sizeBytes) < LOW_WATER_BYTES) {
            context.channel().config().isAutoRead = true
        }
    }

    private companion object {
        /** Includes interim responses, of which a server may send a few. */
        const val MAX_SKIPPED_RESPONSES = 32
        const val HIGH_WATER_BYTES = 262_144
        const val LOW_WATER_BYTES = 65_536
    }
}
