package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects requests with both `Content-Length` and `Transfer-Encoding`. Two parties that resolve
 * this ambiguity differently disagree on where the request ends, which allows request smuggling.
 */
internal class StrictRequestDecoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
