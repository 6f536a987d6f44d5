package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.module.kotlin.treeToValue
import io.lavenderhinge.core.port.CacheEvent
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.EngineOrder
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.port.ModelEngine
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpStatus
import java.net.InetSocketAddress
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Client of the control interface of one model engine over HTTP and JSON. */
class HttpModelEngine(client: HttpClient, address: InetSocketAddress, timeoutMillis: Long = 2_000) :
    ModelEngine {
    private val http = JsonClient(client, address, CallTimeouts(timeoutMillis, timeoutMillis))

    override suspend fun load(): Either<EngineFault, LoadReport> =
        call("GET", "/v1/load").flatMap { decode<LoadReport>(it) }

    override suspend fun cacheEvents(
        afterSequence: Long
    ): Either<EngineFault, ImmutableList<CacheEvent>> =
        call("GET", "/v1/cache-events", "after=$afterSequence").flatMap { body ->
            if (!body.isArray) return@flatMap malformed().left()
            body
                .map { node ->
                    decode<CacheEvent>(node).getOrElse {
                        return@flatMap it.left()
                    }
                }
                .toImmutableList()
                .right()
        }

    override suspend fun order(order: EngineOrder): Either<EngineFault, Unit> =
        call("POST", "/v1/orders", body = Json.render(order)).map {}

    override suspend fun cancel(requestId: String): Either<EngineFault, Unit> =
        call("DELETE", "/v1/streams/${urlEncode(requestId)}").map {}

    private suspend fun call(
        method: String,
        path: String,
        query: String = "",
        body: ByteArray = ByteArray(0),
    ): Either<EngineFault, JsonNode> {
        val response =
            http.call(method, path, query, body).getOrElse {
                return toEngineFault(it).left()
            }
        val content = response.body ?: Json.mapper.nullNode()
        return when (response.status) {
            HttpStatus.OK -> content.right()
            HttpStatus.PRECONDITION_FAILED ->
                EngineFault.Fenced(content.path("currentFencingNumber").asLong(0)).left()
            else -> {
                val draining = content.path("draining").asBoolean(false)
                EngineFault.Refused(response.status, "the engine rejected the call", draining)
                    .left()
            }
        }
    }

    private fun toEngineFault(fault: CallFault): EngineFault =
        when (fault) {
            is CallFault.NotSent -> EngineFault.NotSent(fault.message)
            is CallFault.Unknown -> EngineFault.OutcomeUnknown(fault.message)
        }

    private inline fun <reified T> decode(node: JsonNode): Either<EngineFault, T> =
        runCatching { Json.mapper.treeToValue<T>(node) }
            .fold({ it.right() }, { malformed().left() })

    private fun malformed(): EngineFault =
        EngineFault.OutcomeUnknown("the engine sent a malformed response; retry")
}
