package io.lavenderhinge.standins.engine

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.jsonBody
import io.lavenderhinge.standins.jsonMapper
import io.lavenderhinge.standins.queryParameter
import io.lavenderhinge.standins.respondJson
import kotlin.random.Random
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.first

/**
 * A fake model engine with the chat completions API, streams that can be resumed and cancelled,
 * load reports and orders to load and unload versions.
 *
 * Token `i` of a response is `<first word of the last message>:<i>`, so that a caller can check
 * that it received all tokens of its own response and no others. `POST /admin/engine` sets
 * [EngineFaults]; `GET /admin/record` returns all runs.
 */
class EngineHandler(
    speed: EngineSpeed = EngineSpeed(),
    initialVersion: String = "1",
    private val checksOrders: Boolean = true,
) : HttpHandler {
    private val state = EngineState(speed, initialVersion)

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/admin/record" -> exchange.respondJson(state.runLog.all())
            path == "/admin/engine" -> configure(exchange)
            path == "/v1/load" -> reportLoad(exchange)
            path == "/v1/orders" -> handleOrder(exchange)
            path == "/v1/cache-events" -> exchange.respondJson(emptyList<Any>())
            path == "/v1/chat/completions" -> handleCompletion(exchange)
            path.startsWith("/v1/streams/") -> handleStream(exchange)
            else -> exchange.respondJson(mapOf("error" to "no such path"), HttpStatus.NOT_FOUND)
        }
    }

    private suspend fun configure(exchange: HttpExchange) {
        state.faults = jsonMapper.treeToValue(exchange.jsonBody(), EngineFaults::class.java)
        exchange.respondJson(state.faults)
    }

    private suspend fun reportLoad(exchange: HttpExchange) =
        exchange.respondJson(
            mapOf(
                "running" to state.running.get(),
                "waiting" to 0,
                "contextTokens" to state.contextTokens.get(),
                "version" to state.versions.joinToString(","),
                "ageMillis" to 0,
            )
        )

    private suspend fun handleOrder(exchange: HttpExchange) {
        val body = exchange.jsonBody()
        val fencingNumber = body.path("fencingNumber").asLong()
        val currentFencingNumber =
            state.applyOrder(
                body.path("action").asText(),
                body.path("version").asText(),
                fencingNumber,
                checksOrders,
            )
        if (currentFencingNumber != null) {
            return exchange.respondJson(
                mapOf("currentFencingNumber" to currentFencingNumber),
                HttpStatus.PRECONDITION_FAILED,
            )
        }
        exchange.respondJson(mapOf("done" to true))
    }

    private suspend fun handleCompletion(exchange: HttpExchange) {
        val body = exchange.jsonBody()
        val version = exchange.request.header("X-Model-Version") ?: state.versions.first()
        val fault = state.faults.versions[version]
        when {
            state.faults.draining ->
                exchange.respondJson(mapOf("draining" to true), HttpStatus.UNAVAILABLE)
            version !in state.versions ->
                exchange.respondJson(
                    mapOf("error" to "version $version is not loaded"),
                    HttpStatus.NOT_FOUND,
                )
            fault != null && Random.nextDouble() < fault.errorFraction ->
                exchange.respondJson(mapOf("error" to "model failed"), HttpStatus.SERVER_ERROR)
            else -> startGeneration(exchange, body, version)
        }
    }

    private suspend fun startGeneration(exchange: HttpExchange, body: JsonNode, version: String) {
        val requestId = exchange.request.header("X-Request-Id").orEmpty()
        val messages = body.path("messages").map { it.path("content").asText() }
        if (state.faults.crashOnMessage in messages) Runtime.getRuntime().halt(1)
        val marker = messages.lastOrNull()?.substringBefore(' ').orEmpty()
        val tokenCount = body.path("max_tokens").asInt(DEFAULT_TOKEN_COUNT)
        val generation = Generation(requestId, marker, tokenCount)
        state.start(generation, version, messages.sumOf { it.split(' ').size })
        if (body.path("stream").asBoolean(false))
            writeStream(exchange, generation, fromIndex = 0, resumed = false)
        else respondWithoutStreaming(exchange, generation)
    }

    private suspend fun respondWithoutStreaming(exchange: HttpExchange, generation: Generation) {
        generation.producedTokens.first { it >= generation.tokenCount }
        val text = (0 until generation.tokenCount).joinToString(" ") { "${generation.marker}:$it" }
        val choice =
            mapOf("index" to 0, "message" to mapOf("role" to "assistant", "content" to text))
        exchange.respondJson(mapOf("id" to generation.requestId, "choices" to listOf(choice)))
    }

    private suspend fun handleStream(exchange: HttpExchange) {
        val requestId = exchange.request.path.removePrefix("/v1/streams/")
        if (exchange.request.method == "DELETE") {
            state.cancel(requestId)
            return exchange.respondJson(mapOf("cancelled" to true))
        }
        val generation =
            state.generations[requestId]
                ?: return exchange.respondJson(
                    mapOf("error" to "no such stream"),
                    HttpStatus.NOT_FOUND,
                )
        writeStream(
            exchange,
            generation,
            exchange.queryParameter("from")?.toIntOrNull() ?: 0,
            resumed = true,
        )
    }

    private suspend fun writeStream(
        exchange: HttpExchange,
        generation: Generation,
        fromIndex: Int,
        resumed: Boolean,
    ) {
        val writer =
            exchange.startStream(
                HttpStatus.OK,
                "text/event-stream",
                listOf(HttpField("X-Resumable", "true")),
            )
        for (index in fromIndex until generation.tokenCount) {
            generation.producedTokens.first { it > index }
            // Only the first stream of a request is cut or stalled, so that resuming it succeeds.
            if (!resumed && state.faults.dropAfterTokens == index) return
            if (!resumed && state.faults.stallAfterTokens == index) awaitCancellation()
            writer.write(renderEvent(generation, index))
        }
        writer.write("data: [DONE]\n\n".toByteArray())
        writer.end()
    }

    private fun renderEvent(generation: Generation, index: Int): ByteArray {
        val text = "${generation.marker}:$index "
        val choice = mapOf("index" to 0, "delta" to mapOf("content" to text))
        val data =
            jsonMapper.writeValueAsString(
                mapOf("id" to generation.requestId, "choices" to listOf(choice))
            )
        return "id: $index\ndata: $data\n\n".toByteArray()
    }

    private companion object {
        const val DEFAULT_TOKEN_COUNT = 16
    }
}
