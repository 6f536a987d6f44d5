package io.lavenderhinge.http

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the responses on a client connection, and closes the connection when bytes arrive while
 * no request is in progress. The start of a response that came too early would otherwise be
 * completed by the response to the next request.
 */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** True from the send of a request until its response is complete. */
    var isRequestInProgress = false
        private set

    private var isHeadRequest = false

    /** True if bytes have arrived after those of the responses that were decoded. */
    val hasSurplusBytes: Boolean
        get() = actualReadableBytes() > 0

    /** Called before a request is sent. */
    fun onRequest(method: HttpMethod) {
        isRequestInProgress = true
        isHeadRequest = method == HttpMethod.HEAD
    }

    /** Called when the response to the request is complete. */
    fun onResponseComplete() {
        isRequestInProgress = false
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (isRequestInProgress) return super.channelRead(ctx, message)
        ReferenceCountUtil.release(message)
        ctx.close()
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}
