package io.lavenderhinge.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.nio.channels.ClosedChannelException
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

private typealias NettyRequest = io.netty.handler.codec.http.HttpRequest

/**
 * Reads the requests of one connection and answers them in order.
 *
 * Pipelined requests are queued in [pending] until the previous one has been answered, which keeps
 * responses in request order. All state is confined to the channel's event loop.
 */
internal class ServerConnection(
    private val scope: CoroutineScope,
    private val limits: HttpLimits,
    private val handler: HttpHandler,
    private val faults: HttpFaultRenderer,
    private val draining: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pending = ArrayDeque<PendingRequest>()
    private var head: NettyRequest? = null
    private val body = RequestBody()
    private var active: Job? = null
    private var timer: ScheduledFuture<*>? = null
    /** True once no further request of this connection is accepted. */
    private var closing = false
    /** Sent after the responses to the requests that were received before it. */
    private var rejection: HttpFault? = null
    /** True if the connection closes once no request is in progress. */
    private var isDrained = false
    private var hasReceivedRequest = false

    private val isIdle: Boolean
        get() = active == null && head == null && pending.isEmpty()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        armTimer(limits.headTimeoutMillis) { reject(HttpFault.HEAD_TIMEOUT) }
        if (draining()) closeIfUnused()
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        active?.cancel(CancellationException("the client disconnected"))
        pending.clear()
        ctx.fireChannelInactive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (!closing && message is HttpObject) handleMessage(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        when {
            event !== DrainEvent -> ctx.fireUserEventTriggered(event)
            !hasReceivedRequest -> closeIfUnused()
            isIdle -> ctx.close()
            else -> isDrained = true
        }
    }

    // The first request of a connection that was just accepted is probably in transit.
    private fun closeIfUnused() {
        context
            .executor()
            .schedule(
                { if (isIdle && !hasReceivedRequest) context.close() },
                FIRST_REQUEST_WAIT_MILLIS,
                TimeUnit.MILLISECONDS,
            )
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        writability.onChange(ctx.channel().isWritable)
        ctx.fireChannelWritabilityChanged()
    }

    @Deprecated("Netty's callback for pipeline errors")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug("http: connection failed: {}", cause.toString())
        ctx.close()
    }

    private val writability = Writability()

    private fun handleMessage(message: HttpObject) {
        if (message.decoderResult().isFailure)
            return reject(faultOf(message.decoderResult().cause()))
        if (message is NettyRequest) startRequest(message)
        if (message is HttpContent && head != null) appendBody(message)
        if (message is LastHttpContent && head != null) finishRequest()
    }

    private fun startRequest(request: NettyRequest) {
        if (!hasUnambiguousFraming(request)) return reject(HttpFault.MALFORMED)
        head = request
        hasReceivedRequest = true
        body.clear()
        armTimer(limits.bodyTimeoutMillis) { reject(HttpFault.BODY_TIMEOUT) }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes) {
            return reject(HttpFault.BODY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            )
        }
    }

    private fun hasUnambiguousFraming(request: NettyRequest): Boolean {
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val hosts = request.headers().getAll(HttpHeaderNames.HOST)
        val isUnencodedOrChunked =
            encodings.isEmpty() ||
                encodings.size == 1 &&
                    HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.single().trim())
        return isUnencodedOrChunked && hosts.size <= 1
    }

    private fun appendBody(content: HttpContent) {
        if (body.sizeBytes + content.content().readableBytes() > limits.maxBodyBytes) {
            return reject(HttpFault.BODY_TOO_LARGE)
        }
        body.append(content.content())
    }

    private fun finishRequest() {
        val request = head ?: return
        head = null
        timer?.cancel(false)
        if (pending.size >= limits.maxPipelinedRequests) return reject(HttpFault.TOO_MANY_PIPELINED)
        val isKeepAlive = HttpUtil.isKeepAlive(request)
        pending.addLast(PendingRequest(toRequest(request)) { decideKeepAlive(isKeepAlive) })
        startNext()
    }

    // Nothing further is handled once a response announces the close: its answer would be lost.
    private fun decideKeepAlive(isRequested: Boolean): Boolean {
        if (isRequested && !(draining() && pending.isEmpty())) return true
        closing = true
        rejection = null
        pending.clear()
        return false
    }

    private fun toRequest(request: NettyRequest): HttpRequest {
        val path = request.uri().substringBefore('?')
        val query = request.uri().substringAfter('?', "")
        return HttpRequest(
            request.method().name(),
            path,
            query,
            request.headers(),
            body.take(),
            request.uri(),
        )
    }

    private fun startNext() {
        if (active != null || !context.channel().isActive) return
        val next = pending.removeFirstOrNull() ?: return onAllAnswered()
        val exchange = NettyExchange(context, next, writability)
        val job = scope.launch(start = CoroutineStart.LAZY) { handle(exchange) }
        active = job
        job.invokeOnCompletion { context.executor().execute(::finishExchange) }
        job.start()
    }

    private suspend fun handle(exchange: NettyExchange) {
        try {
            handler.handle(exchange)
            exchange.closeUnfinished()
        } catch (e: CancellationException) {
            // The handler's own timeouts are cancellations too, but its client still waits.
            if (currentCoroutineContext().isActive) return fail(exchange, e)
            context.close()
            throw e
        } catch (e: ClosedChannelException) {
            log.debug("http: client disconnected before the response was sent: {}", e.toString())
            context.close()
        } catch (e: Throwable) {
            fail(exchange, e)
        }
    }

    private fun fail(exchange: NettyExchange, cause: Throwable) {
        log.error("http: handler failed for {}", exchange.request.path, cause)
        exchange.fail(faults.render(HttpFault.HANDLER_FAILED))
    }

    private fun finishExchange() {
        active = null
        startNext()
    }

    private fun onAllAnswered() {
        val fault = rejection
        when {
            fault != null -> sendAndClose(context, faults.render(fault))
            closing || head != null -> Unit
            isDrained -> context.close()
            else -> armTimer(limits.idleTimeoutMillis) { context.close() }
        }
    }

    // The requests that were received before are answered first; the rejection closes the
    // connection.
    private fun reject(fault: HttpFault) {
        if (closing) return
        closing = true
        rejection = fault
        head = null
        body.clear()
        timer?.cancel(false)
        startNext()
    }

    private fun armTimer(delayMillis: Long, action: () -> Unit) {
        timer?.cancel(false)
        timer = context.executor().schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun faultOf(cause: Throwable): HttpFault =
        when (cause) {
            is TooLongHttpLineException -> HttpFault.LINE_TOO_LONG
            is TooLongHttpHeaderException -> HttpFault.HEAD_TOO_LARGE
            is TooLongFrameException -> HttpFault.HEAD_TOO_LARGE
            else -> HttpFault.MALFORMED
        }

    private companion object {
        /** Several round trips to a client, and the retransmission of one lost packet. */
        const val FIRST_REQUEST_WAIT_MILLIS = 500L
        val log = LoggerFactory.getLogger(ServerConnection::class.java)
    }
}

/** A request that awaits its response; the connection closes after it unless [keepAlive]. */
internal class PendingRequest(val request: HttpRequest, decideKeepAlive: () -> Boolean) {
    /**
     * Decided once, when the response starts: the listener may have started draining by then, and
     * what the response announces has to hold until its end.
     */
    val keepAlive: Boolean by lazy(decideKeepAlive)
}

/** Notifies a connection that its listener is draining. */
internal object DrainEvent

internal fun fullResponse(response: HttpResponse, keepAlive: Boolean): DefaultFullHttpResponse {
    val message =
        DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status),
            Unpooled.wrappedBuffer(response.body),
        )
    message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
    response.contentType?.let { message.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
    addHeaders(message.headers(), response.headers, keepAlive)
    return message
}

internal fun streamHead(
    status: Int,
    contentType: String,
    fields: List<HttpField>,
    keepAlive: Boolean,
): DefaultHttpResponse {
    val message = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
    message.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
    HttpUtil.setTransferEncodingChunked(message, true)
    addHeaders(message.headers(), fields, keepAlive)
    return message
}

private fun addHeaders(headers: HttpHeaders, fields: List<HttpField>, keepAlive: Boolean) {
    fields.forEach { headers.add(it.name, it.value) }
    if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
}

internal fun sendAndClose(context: ChannelHandlerContext, response: HttpResponse) {
    context.writeAndFlush(fullResponse(response, keepAlive = false)).addListener { context.close() }
}

internal fun lastContent(): LastHttpContent = DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
