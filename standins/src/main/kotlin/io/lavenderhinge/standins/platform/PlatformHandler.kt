package io.lavenderhinge.standins.platform

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.jsonMapper
import io.lavenderhinge.standins.queryParameter
import io.lavenderhinge.standins.respondJson
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay

/**
 * Fake key-value service, live list and weight store on one port.
 *
 * `/v1/kv`, `/v1/watch` and `/v1/leases` belong to the key-value service, `/v1/members` to the live
 * list and `/v1/weights/{model}/{version}` to the weight store, which reports every version as
 * present. `PUT /admin/members` replaces the live list; the change is visible after
 * [listLagMillis]. `GET /admin/calls` returns the number of calls of each kind.
 */
class PlatformHandler(private val listLagMillis: Long = 0) : HttpHandler {
    private val state = KeyValueState()
    private val calls = ConcurrentHashMap<String, AtomicLong>()
    @Volatile private var members: JsonNode = jsonMapper.createArrayNode()

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/admin/members" -> setMembers(exchange)
            path == "/admin/calls" -> exchange.respondJson(calls.mapValues { it.value.get() })
            path == "/v1/members" -> countCall("list", exchange) { exchange.respondJson(members) }
            path == "/v1/kv" -> countCall("read", exchange, ::listEntries)
            path == "/v1/watch" -> countCall("watch", exchange, ::watchChanges)
            path == "/v1/leases" -> countCall("lease", exchange, ::grantLease)
            path.startsWith("/v1/leases/") -> countCall("lease", exchange, ::renewLease)
            path.startsWith("/v1/kv/") && exchange.request.method == "PUT" ->
                countCall("write", exchange, ::compareAndSwap)
            path.startsWith("/v1/kv/") -> countCall("read", exchange, ::getEntry)
            path.startsWith("/v1/weights/") -> exchange.respondJson(mapOf("present" to true))
            else -> exchange.respondJson(mapOf("error" to "no such path"), HttpStatus.NOT_FOUND)
        }
    }

    private suspend fun countCall(
        kind: String,
        exchange: HttpExchange,
        handler: suspend (HttpExchange) -> Unit,
    ) {
        calls.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
        handler(exchange)
    }

    private suspend fun setMembers(exchange: HttpExchange) {
        val newMembers = jsonMapper.readTree(exchange.request.body)
        exchange.respondJson(mapOf("accepted" to newMembers.size()))
        delay(listLagMillis)
        members = newMembers
    }

    private suspend fun getEntry(exchange: HttpExchange) {
        val entry = state.get(keyOf(exchange))
        if (entry == null)
            exchange.respondJson(mapOf("error" to "no such key"), HttpStatus.NOT_FOUND)
        else exchange.respondJson(entry)
    }

    private suspend fun listEntries(exchange: HttpExchange) =
        exchange.respondJson(
            mapOf("entries" to state.list(exchange.queryParameter("prefix").orEmpty()))
        )

    private suspend fun compareAndSwap(exchange: HttpExchange) {
        val body = exchange.request.body
        if (body.size > MAX_VALUE_BYTES) {
            return exchange.respondJson(mapOf("error" to "too large"), HttpStatus.CONTENT_TOO_LARGE)
        }
        val expected = exchange.queryParameter("expected")?.toLongOrNull() ?: 0
        val lease = exchange.queryParameter("lease")
        when (val result = state.compareAndSwap(keyOf(exchange), expected, String(body), lease)) {
            is CompareAndSwapResult.Written -> exchange.respondJson(result.entry)
            is CompareAndSwapResult.Conflict ->
                exchange.respondJson(mapOf("current" to result.current), HttpStatus.CONFLICT)
        }
    }

    private suspend fun watchChanges(exchange: HttpExchange) {
        val prefix = exchange.queryParameter("prefix").orEmpty()
        val after = exchange.queryParameter("after")?.toLongOrNull() ?: 0
        var remainingMillis = exchange.queryParameter("wait")?.toLongOrNull() ?: 0
        while (true) {
            val (changes, revision) = state.changes(prefix, after)
            if (changes.isNotEmpty() || remainingMillis <= 0) {
                return exchange.respondJson(mapOf("changes" to changes, "revision" to revision))
            }
            delay(POLL_INTERVAL_MILLIS)
            remainingMillis -= POLL_INTERVAL_MILLIS
        }
    }

    private suspend fun grantLease(exchange: HttpExchange) {
        val ttlMillis = exchange.queryParameter("ttl")?.toLongOrNull() ?: DEFAULT_LEASE_MILLIS
        exchange.respondJson(mapOf("id" to state.grantLease(ttlMillis), "ttlMillis" to ttlMillis))
    }

    private suspend fun renewLease(exchange: HttpExchange) {
        val id = exchange.request.path.removePrefix("/v1/leases/").removeSuffix("/renew")
        val ttlMillis = state.renewLease(id)
        if (ttlMillis == null)
            exchange.respondJson(mapOf("error" to "lapsed"), HttpStatus.NOT_FOUND)
        else exchange.respondJson(mapOf("id" to id, "ttlMillis" to ttlMillis))
    }

    private fun keyOf(exchange: HttpExchange): String =
        URLDecoder.decode(exchange.request.path.removePrefix("/v1/kv/"), Charsets.UTF_8)

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
        const val POLL_INTERVAL_MILLIS = 20L
        const val DEFAULT_LEASE_MILLIS = 10_000L
    }
}
