package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpResponse as NettyResponse

private const val VERSION_START = "HTTP/1."

private val statusLine = Regex("""HTTP/1\.[01] \d{3}""")

/**
 * Returns true if the head contains the status line of another response. The start of one response
 * was then followed by a whole one, and its status or fields may belong to either.
 */
internal fun NettyResponse.isMixedHead(): Boolean =
    containsStatusLine(status().reasonPhrase()) || headers().any { containsStatusLine(it.value) }

private fun containsStatusLine(text: String): Boolean =
    VERSION_START in text && statusLine.containsMatchIn(text)
