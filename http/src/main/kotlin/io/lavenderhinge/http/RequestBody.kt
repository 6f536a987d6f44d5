package io.lavenderhinge.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil

/**
 * The body of the request that a connection receives.
 *
 * Keeps the parts as they arrive and joins them once, so that a large body takes no more than twice
 * its size. Holds nothing between two requests: connections may be idle for long.
 */
internal class RequestBody {
    private val parts = ArrayList<ByteArray>()

    /** Number of bytes received so far. */
    var sizeBytes = 0
        private set

    /** Appends [content]. */
    fun append(content: ByteBuf) {
        if (!content.isReadable) return
        parts += ByteBufUtil.getBytes(content)
        sizeBytes += content.readableBytes()
    }

    /** Returns the body and forgets it. */
    fun take(): ByteArray {
        val body = parts.singleOrNull() ?: joined()
        clear()
        return body
    }

    /** Forgets what was received. */
    fun clear() {
        parts.clear()
        parts.trimToSize()
        sizeBytes = 0
    }

    private fun joined(): ByteArray {
        val body = ByteArray(sizeBytes)
        var offset = 0
        parts.forEach { part ->
            part.copyInto(body, offset)
            offset += part.size
        }
        return body
    }
}
