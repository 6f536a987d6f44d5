package io.lavenderhinge.http

/** Handles one request in a coroutine that is cancelled when the client disconnects. */
fun interface HttpHandler {
    /** Answers [exchange] exactly once. */
    suspend fun handle(exchange: HttpExchange)
}

/** One request together with the means to respond to it. */
interface HttpExchange {
    /** The request with its complete body. */
    val request: HttpRequest

    /** Sends a complete response. */
    suspend fun respond(response: HttpResponse)

    /** Starts a chunked response. The handler must write the body to the result and end it. */
    suspend fun startStream(
        status: Int,
        contentType: String,
        headers: List<HttpField> = emptyList(),
    ): HttpBodyWriter
}

/**
 * Body of a chunked response. If the handler does not end the body, the connection is closed
 * without the last chunk, which the client sees as a truncated response.
 */
interface HttpBodyWriter {
    /** Sends [bytes]; suspends while the connection's send buffer is full. */
    suspend fun write(bytes: ByteArray)

    /** Ends the body. */
    suspend fun end()
}
