package io.lavenderhinge.instance.caller

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.http.HttpBodyWriter
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus

/** Writes a chat completion to the caller, either as an event stream or as one JSON document. */
internal abstract class CompletionWriter(
    protected val exchange: HttpExchange,
    protected val context: RequestContext,
) {
    /** Time of the first event in epoch milliseconds; 0 until the first event arrives. */
    var firstEventMillis = 0L
        private set

    /** Handles the data of the next event from the engine. */
    suspend fun writeEvent(data: String) {
        if (firstEventMillis == 0L) firstEventMillis = System.currentTimeMillis()
        writeData(data)
    }

    protected abstract suspend fun writeData(data: String)

    /** Completes a successful response. */
    abstract suspend fun finish()

    /** Reports [problem]; a response that has already started is left visibly incomplete. */
    abstract suspend fun fail(problem: Problem)

    companion object {
        fun of(exchange: HttpExchange, context: RequestContext, body: JsonNode): CompletionWriter =
            if (body.path("stream").asBoolean(false)) StreamingCompletionWriter(exchange, context)
            else BufferedCompletionWriter(exchange, context)
    }
}

private class StreamingCompletionWriter(exchange: HttpExchange, context: RequestContext) :
    CompletionWriter(exchange, context) {
    private var writer: HttpBodyWriter? = null

    override suspend fun writeData(data: String) =
        openStream().write("data: $data\n\n".toByteArray())

    override suspend fun finish() {
        val stream = openStream()
        stream.write("data: [DONE]\n\n".toByteArray())
        stream.end()
    }

    override suspend fun fail(problem: Problem) {
        val stream = writer ?: return exchange.respond(problem.response(context.requestId))
        val body = String(problem.body(context.requestId))
        // Omitting `[DONE]` and the terminating chunk tells the caller that the response is
        // incomplete.
        stream.write("event: error\ndata: $body\n\n".toByteArray())
    }

    private suspend fun openStream(): HttpBodyWriter =
        writer
            ?: exchange
                .startStream(
                    HttpStatus.OK,
                    "text/event-stream",
                    listOf(HttpField("X-Request-Id", context.requestId)),
                )
                .also { writer = it }
}

private class BufferedCompletionWriter(exchange: HttpExchange, context: RequestContext) :
    CompletionWriter(exchange, context) {
    private val content = StringBuilder()

    override suspend fun writeData(data: String) {
        val choice = Json.parseOrNull(data.toByteArray())?.path("choices")?.path(0)
        content.append(choice?.path("delta")?.path("content")?.asText().orEmpty())
    }

    override suspend fun finish() {
        val message = mapOf("role" to "assistant", "content" to content.toString())
        val choice = mapOf("index" to 0, "message" to message, "finish_reason" to "stop")
        val body = mapOf("id" to context.requestId, "choices" to listOf(choice))
        exchange.respond(
            HttpResponse(
                HttpStatus.OK,
                Json.render(body),
                listOf(HttpField("X-Request-Id", context.requestId)),
                "application/json",
            )
        )
    }

    override suspend fun fail(problem: Problem) =
        exchange.respond(problem.response(context.requestId))
}
