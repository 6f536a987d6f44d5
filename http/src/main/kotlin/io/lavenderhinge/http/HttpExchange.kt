package io.lavenderhinge.http

/** Handles one request; it runs as a coroutine that is cancelled when the caller disconnects. */
fun interface HttpHandler {
    /** Answers [exchange] exactly once. */
    suspend fun handle(exchange: HttpExchange)
}

/** One request and the way to answer it. */
interface HttpExchange {
    /** The request with its whole body. */
    val request: HttpRequest

    /** Sends a complete response. */
    suspend fun respond(response: HttpResponse)

    /** Starts a chunked response; the handler writes to the result and ends it. */
    suspend fun startStream(
        status: Int,
        contentType: String,
        headers: List<HttpField> = emptyList(),
    ): HttpBodyWriter
}

/** Body of a chunked response. A body that is not ended closes the connection without its end. */
interface HttpBodyWriter {
    /** Sends [bytes]; suspends while the connection's send buffer is full. */
    suspend fun write(bytes: ByteArray)

    /** Ends the body. */
    suspend fun end()
}
