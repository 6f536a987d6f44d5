package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Refuses requests with both a length and a transfer encoding. Two parties that choose differently
 * between them see different ends of the request, and the rest would be taken for another one.
 */
internal class StrictRequestDecoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
