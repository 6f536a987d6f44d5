package io.lavenderhinge.standins.platform

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.json
import io.lavenderhinge.standins.parameter
import io.lavenderhinge.standins.respondJson
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay

/**
 * Key-value service, live list and weight store on one port.
 *
 * `/v1/kv`, `/v1/watch` and `/v1/leases` are the key-value service, `/v1/members` the live list,
 * `/v1/weights/{model}/{version}` the weight store. `PUT /admin/members` sets the list, which is
 * shown [listLagMillis] later; `GET /admin/calls` counts the calls by kind.
 */
class PlatformHandler(private val listLagMillis: Long = 0) : HttpHandler {
    private val state = KeyValueState()
    private val calls = ConcurrentHashMap<String, AtomicLong>()
    @Volatile private var members: JsonNode = json.createArrayNode()

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/admin/members" -> setMembers(exchange)
            path == "/admin/calls" -> exchange.respondJson(calls.mapValues { it.value.get() })
            path == "/v1/members" -> counted("list", exchange) { exchange.respondJson(members) }
            path == "/v1/kv" -> counted("read", exchange, ::list)
            path == "/v1/watch" -> counted("watch", exchange, ::watch)
            path == "/v1/leases" -> counted("lease", exchange, ::grant)
            path.startsWith("/v1/leases/") -> counted("lease", exchange, ::renew)
            path.startsWith("/v1/kv/") && exchange.request.method == "PUT" ->
                counted("write", exchange, ::swap)
            path.startsWith("/v1/kv/") -> counted("read", exchange, ::get)
            path.startsWith("/v1/weights/") -> exchange.respondJson(mapOf("present" to true))
            else -> exchange.respondJson(mapOf("error" to "no such path"), HttpStatus.NOT_FOUND)
        }
    }

    private suspend fun counted(
        kind: String,
        exchange: HttpExchange,
        action: suspend (HttpExchange) -> Unit,
    ) {
        calls.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
        action(exchange)
    }

    private suspend fun setMembers(exchange: HttpExchange) {
        val next = json.readTree(exchange.request.body)
        exchange.respondJson(mapOf("accepted" to next.size()))
        delay(listLagMillis)
        members = next
    }

    private suspend fun get(exchange: HttpExchange) {
        val entry = state.get(key(exchange))
        if (entry == null)
            exchange.respondJson(mapOf("error" to "no such key"), HttpStatus.NOT_FOUND)
        else exchange.respondJson(entry)
    }

    private suspend fun list(exchange: HttpExchange) =
        exchange.respondJson(mapOf("entries" to state.list(exchange.parameter("prefix").orEmpty())))

    private suspend fun swap(exchange: HttpExchange) {
        val body = exchange.request.body
        if (body.size > VALUE_BYTES) {
            return exchange.respondJson(mapOf("error" to "too large"), HttpStatus.CONTENT_TOO_LARGE)
        }
        val expected = exchange.parameter("expected")?.toLongOrNull() ?: 0
        val lease = exchange.parameter("lease")
        when (val result = state.swap(key(exchange), expected, String(body), lease)) {
            is SwapResult.Written -> exchange.respondJson(result.entry)
            is SwapResult.Conflict ->
                exchange.respondJson(mapOf("current" to result.current), HttpStatus.CONFLICT)
        }
    }

    private suspend fun watch(exchange: HttpExchange) {
        val prefix = exchange.parameter("prefix").orEmpty()
        val after = exchange.parameter("after")?.toLongOrNull() ?: 0
        var leftMillis = exchange.parameter("wait")?.toLongOrNull() ?: 0
        while (true) {
            val (changes, revision) = state.changes(prefix, after)
            if (changes.isNotEmpty() || leftMillis <= 0) {
                return exchange.respondJson(mapOf("changes" to changes, "revision" to revision))
            }
            delay(POLL_MILLIS)
            leftMillis -= POLL_MILLIS
        }
    }

    private suspend fun grant(exchange: HttpExchange) {
        val ttlMillis = exchange.parameter("ttl")?.toLongOrNull() ?: DEFAULT_LEASE_MILLIS
        exchange.respondJson(mapOf("id" to state.grantLease(ttlMillis), "ttlMillis" to ttlMillis))
    }

    private suspend fun renew(exchange: HttpExchange) {
        val id = exchange.request.path.removePrefix("/v1/leases/").removeSuffix("/renew")
        val ttlMillis = state.renewLease(id)
        if (ttlMillis == null)
            exchange.respondJson(mapOf("error" to "lapsed"), HttpStatus.NOT_FOUND)
        else exchange.respondJson(mapOf("id" to id, "ttlMillis" to ttlMillis))
    }

    private fun key(exchange: HttpExchange): String =
        URLDecoder.decode(exchange.request.path.removePrefix("/v1/kv/"), Charsets.UTF_8)

    private companion object {
        const val VALUE_BYTES = 1_000_000
        const val POLL_MILLIS = 20L
        const val DEFAULT_LEASE_MILLIS = 10_000L
    }
}
