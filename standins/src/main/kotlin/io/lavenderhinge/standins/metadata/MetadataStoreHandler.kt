package io.lavenderhinge.standins.metadata

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.standins.jsonBody
import io.lavenderhinge.standins.queryParameter
import io.lavenderhinge.standins.respondJson
import java.util.Base64
import kotlinx.coroutines.delay

private class StoredItem(val value: String, val revision: Long, val lease: Long)

/**
 * An in-memory fake of the metadata store with keys, ranges, watches, conditional writes and leases
 * that never expire. Removals are kept without limit, so that a watch can start at any revision.
 */
class MetadataStoreHandler : HttpHandler {
    private val items = sortedMapOf<String, StoredItem>()
    private val removalRevisions = sortedMapOf<String, Long>()
    private var revision = 1L
    private var lastLease = 0L

    /** Writes [value] to [key], in place of the operator or a backend server. */
    @Synchronized fun put(key: String, value: String) = putItem(key, encodeBase64(value), lease = 0)

    @Synchronized
    fun remove(key: String) {
        if (items.remove(key) != null) removalRevisions[key] = ++revision
    }

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.request.path
        when {
            path == "/kv-key" -> handleGet(exchange)
            path == "/kv-range" ->
                exchange.respondJson(renderRange(exchange.parameterOrEmpty("prefix")))
            path == "/kv-watch" -> handleWatch(exchange)
            path == "/kv-txn" -> handleTransaction(exchange)
            path == "/kv-lease" -> exchange.respondJson(grantLease())
            path.startsWith("/kv-keep/") ->
                exchange.respondJson(mapOf("lifetime_ms" to LEASE_LIFETIME_MILLIS))
            else -> exchange.respondJson(emptyMap<String, Any>(), HttpStatus.NOT_FOUND)
        }
    }

    private suspend fun handleGet(exchange: HttpExchange) {
        val item = renderItem(exchange.parameterOrEmpty("key"))
        if (item == null) exchange.respondJson(emptyMap<String, Any>(), HttpStatus.NOT_FOUND)
        else exchange.respondJson(item)
    }

    private suspend fun handleWatch(exchange: HttpExchange) {
        val prefix = exchange.parameterOrEmpty("prefix")
        val after = exchange.parameterOrEmpty("after").toLong()
        var remainingMillis = exchange.parameterOrEmpty("wait_ms").toLong()
        while (remainingMillis > 0 && changes(prefix, after).isEmpty()) {
            delay(POLL_INTERVAL_MILLIS)
            remainingMillis -= POLL_INTERVAL_MILLIS
        }
        exchange.respondJson(renderChanges(prefix, after))
    }

    private suspend fun handleTransaction(exchange: HttpExchange) {
        val body = exchange.jsonBody()
        val newRevision = commit(body)
        if (newRevision == null)
            exchange.respondJson(renderConflict(body), HttpStatus.PRECONDITION_FAILED)
        else exchange.respondJson(mapOf("revision" to newRevision))
    }

    @Synchronized
    private fun commit(body: JsonNode): Long? {
        val revisionsMatch =
            body["expected_revision"].all {
                (items[it["key"].textValue()]?.revision ?: 0) == it["revision"].longValue()
            }
        if (!revisionsMatch) return null
        body["writes"].forEach {
            putItem(it["key"].textValue(), it["value"].textValue(), it["lease"]?.longValue() ?: 0)
        }
        return revision
    }

    @Synchronized
    private fun renderConflict(body: JsonNode): Map<String, Any> =
        mapOf("items" to body["expected_revision"].mapNotNull { renderItem(it["key"].textValue()) })

    @Synchronized
    private fun renderItem(key: String): Map<String, Any>? = items[key]?.let { renderItem(key, it) }

    @Synchronized
    private fun renderRange(prefix: String): Map<String, Any> =
        mapOf(
            "items" to
                items.filterKeys { it.startsWith(prefix) }.map { renderItem(it.key, it.value) },
            "truncated" to false,
            "at" to revision,
        )

    @Synchronized
    private fun changes(prefix: String, after: Long): List<Map<String, Any>> {
        val written =
            items
                .filter { it.key.startsWith(prefix) && it.value.revision > after }
                .map { renderItem(it.key, it.value) }
        val removed =
            removalRevisions
                .filter { it.key.startsWith(prefix) && it.value > after }
                .map { mapOf("key" to it.key, "revision" to it.value, "removed" to true) }
        return written + removed
    }

    @Synchronized
    private fun renderChanges(prefix: String, after: Long): Map<String, Any> =
        mapOf("events" to changes(prefix, after), "at" to revision)

    @Synchronized
    private fun grantLease(): Map<String, Any> =
        mapOf("lease" to ++lastLease, "lifetime_ms" to LEASE_LIFETIME_MILLIS)

    private fun putItem(key: String, value: String, lease: Long) {
        removalRevisions.remove(key)
        items[key] = StoredItem(value, ++revision, lease)
    }

    private fun renderItem(key: String, item: StoredItem): Map<String, Any> =
        mapOf(
            "key" to key,
            "value" to item.value,
            "revision" to item.revision,
            "created" to item.revision,
            "lease" to item.lease,
        )

    private fun HttpExchange.parameterOrEmpty(name: String): String = queryParameter(name).orEmpty()

    private fun encodeBase64(value: String) =
        Base64.getEncoder().encodeToString(value.toByteArray())

    private companion object {
        const val LEASE_LIFETIME_MILLIS = 10_000
        const val POLL_INTERVAL_MILLIS = 10L
    }
}
