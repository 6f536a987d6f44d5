package io.lavenderhinge.standins.metadata

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.jsonBody
import io.lavenderhinge.standins.parameter
import io.lavenderhinge.standins.respondJson
import java.util.Base64
import kotlinx.coroutines.delay

private class StoredItem(val value: String, val revision: Long, val lease: Long)

/**
 * A stand-in for the users' metadata store: keys, ranges, watches, conditional writes and leases
 * that never end. It holds everything in memory and its history for good.
 */
class MetadataStoreHandler : HttpHandler {
    private val items = sortedMapOf<String, StoredItem>()
    private val removals = sortedMapOf<String, Long>()
    private var revision = 1L
    private var lastLease = 0L

    /** Writes [value] under [key], as the operator or a backend server does. */
    @Synchronized fun put(key: String, value: String) = write(key, encode(value), lease = 0)

    /** Removes [key]. */
    @Synchronized
    fun remove(key: String) {
        if (items.remove(key) != null) removals[key] = ++revision
    }

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/kv-key" -> key(exchange)
            path == "/kv-range" -> exchange.respondJson(range(exchange.required("prefix")))
            path == "/kv-watch" -> watch(exchange)
            path == "/kv-txn" -> transaction(exchange)
            path == "/kv-lease" -> exchange.respondJson(lease())
            path.startsWith("/kv-keep/") ->
                exchange.respondJson(mapOf("lifetime_ms" to LEASE_MILLIS))
            else -> exchange.respondJson(emptyMap<String, Any>(), HttpStatus.NOT_FOUND)
        }
    }

    private suspend fun key(exchange: HttpExchange) {
        val item = find(exchange.required("key"))
        if (item == null) exchange.respondJson(emptyMap<String, Any>(), HttpStatus.NOT_FOUND)
        else exchange.respondJson(item)
    }

    private suspend fun watch(exchange: HttpExchange) {
        val prefix = exchange.required("prefix")
        val after = exchange.required("after").toLong()
        var leftMillis = exchange.required("wait_ms").toLong()
        while (leftMillis > 0 && changes(prefix, after).isEmpty()) {
            delay(POLL_MILLIS)
            leftMillis -= POLL_MILLIS
        }
        exchange.respondJson(changesReport(prefix, after))
    }

    private suspend fun transaction(exchange: HttpExchange) {
        val body = exchange.jsonBody()
        val written = apply(body)
        if (written == null) exchange.respondJson(conflict(body), HttpStatus.PRECONDITION_FAILED)
        else exchange.respondJson(mapOf("revision" to written))
    }

    @Synchronized
    private fun apply(body: JsonNode): Long? {
        val holds =
            body["expected_revision"].all {
                (items[it["key"].textValue()]?.revision ?: 0) == it["revision"].longValue()
            }
        if (!holds) return null
        body["writes"].forEach {
            write(it["key"].textValue(), it["value"].textValue(), it["lease"]?.longValue() ?: 0)
        }
        return revision
    }

    @Synchronized
    private fun conflict(body: JsonNode): Map<String, Any> =
        mapOf("items" to body["expected_revision"].mapNotNull { find(it["key"].textValue()) })

    @Synchronized
    private fun find(key: String): Map<String, Any>? = items[key]?.let { render(key, it) }

    @Synchronized
    private fun range(prefix: String): Map<String, Any> =
        mapOf(
            "items" to items.filterKeys { it.startsWith(prefix) }.map { render(it.key, it.value) },
            "truncated" to false,
            "at" to revision,
        )

    @Synchronized
    private fun changes(prefix: String, after: Long): List<Map<String, Any>> {
        val written =
            items
                .filter { it.key.startsWith(prefix) && it.value.revision > after }
                .map { render(it.key, it.value) }
        val removed =
            removals
                .filter { it.key.startsWith(prefix) && it.value > after }
                .map { mapOf("key" to it.key, "revision" to it.value, "removed" to true) }
        return written + removed
    }

    @Synchronized
    private fun changesReport(prefix: String, after: Long): Map<String, Any> =
        mapOf("events" to changes(prefix, after), "at" to revision)

    @Synchronized
    private fun lease(): Map<String, Any> =
        mapOf("lease" to ++lastLease, "lifetime_ms" to LEASE_MILLIS)

    private fun write(key: String, value: String, lease: Long) {
        removals.remove(key)
        items[key] = StoredItem(value, ++revision, lease)
    }

    private fun render(key: String, item: StoredItem): Map<String, Any> =
        mapOf(
            "key" to key,
            "value" to item.value,
            "revision" to item.revision,
            "created" to item.revision,
            "lease" to item.lease,
        )

    private fun HttpExchange.required(name: String): String = parameter(name).orEmpty()

    private fun encode(value: String) = Base64.getEncoder().encodeToString(value.toByteArray())

    private companion object {
        const val LEASE_MILLIS = 10_000
        const val POLL_MILLIS = 10L
    }
}
