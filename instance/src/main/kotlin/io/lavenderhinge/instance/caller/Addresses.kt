package io.lavenderhinge.instance.caller

import java.net.InetSocketAddress

/** The socket address of `ip:port`. */
internal fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
