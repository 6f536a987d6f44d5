package io.lavenderhinge.instance.caller

import java.net.InetSocketAddress

/** Parses an `ip:port` address. */
internal fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
