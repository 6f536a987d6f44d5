package io.lavenderhinge.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Sends an error response to a connection that exceeds the listener's limit and closes it. */
internal class ConnectionLimitHandler(private val faults: HttpFaultRenderer) :
    ChannelInboundHandlerAdapter() {
    override fun channelActive(ctx: ChannelHandlerContext) =
        sendAndClose(ctx, faults.render(HttpFault.TOO_MANY_CONNECTIONS))
}
