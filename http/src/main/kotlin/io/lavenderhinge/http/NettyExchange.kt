package io.lavenderhinge.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import kotlinx.coroutines.CompletableDeferred
import org.slf4j.LoggerFactory

/** Suspends writers while a channel's send buffer is above its high-water mark. */
internal class Writability {
    @Volatile private var waiter: CompletableDeferred<Unit>? = null

    /** Called on the event loop when writability changes. */
    fun onChange(isWritable: Boolean) {
        if (isWritable) waiter?.complete(Unit)
    }

    suspend fun awaitWritable(context: ChannelHandlerContext) {
        if (context.channel().isWritable) return
        val writable = CompletableDeferred<Unit>()
        waiter = writable
        if (context.channel().isWritable) return
        val onClose = ChannelFutureListener { writable.complete(Unit) }
        context.channel().closeFuture().addListener(onClose)
        writable.await()
        context.channel().closeFuture().removeListener(onClose)
    }
}

/** An exchange on a server connection. */
internal class NettyExchange(
    private val context: ChannelHandlerContext,
    private val pending: PendingRequest,
    private val writability: Writability,
) : HttpExchange {
    private enum class State {
        UNANSWERED,
        STREAMING,
        ANSWERED,
    }

    @Volatile private var state = State.UNANSWERED

    override val request: HttpRequest
        get() = pending.request

    override suspend fun respond(response: HttpResponse) {
        check(state == State.UNANSWERED) { "a response has already been started" }
        send(response)?.awaitDone()
    }

    // Returns null if the connection closes after the response.
    private fun send(response: HttpResponse): ChannelFuture? {
        state = State.ANSWERED
        if (pending.keepAlive)
            return context.writeAndFlush(fullResponse(response, keepAlive = true))
        sendAndClose(context, response)
        return null
    }

    /**
     * Does not suspend, so that a caller that is cancelled meanwhile still gets the writer: the
     * head cannot be sent a second time.
     */
    override suspend fun startStream(
        status: Int,
        contentType: String,
        headers: List<HttpField>,
    ): HttpBodyWriter {
        check(state == State.UNANSWERED) { "a response has already been started" }
        state = State.STREAMING
        context
            .writeAndFlush(streamHead(status, contentType, headers, pending.keepAlive))
            .addListener(ChannelFutureListener { if (!it.isSuccess) onHeadNotSent(it.cause()) })
        return Writer()
    }

    private fun onHeadNotSent(cause: Throwable) {
        log.debug("http: the head of a stream was not sent: {}", cause.toString())
        context.close()
    }

    /** Sends [response] if nothing has been sent yet, otherwise closes without ending the body. */
    fun fail(response: HttpResponse) {
        if (state == State.UNANSWERED) send(response) else context.close()
    }

    /** Closes the connection if the handler returned without a complete response. */
    fun closeUnfinished() {
        if (state != State.ANSWERED) context.close()
    }

    private inner class Writer : HttpBodyWriter {
        override suspend fun write(bytes: ByteArray) {
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            writability.awaitWritable(context)
        }

        override suspend fun end() {
            state = State.ANSWERED
            val sent = context.writeAndFlush(lastContent())
            if (!pending.keepAlive) sent.addListener { context.close() }
            sent.awaitDone()
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(NettyExchange::class.java)
    }
}
