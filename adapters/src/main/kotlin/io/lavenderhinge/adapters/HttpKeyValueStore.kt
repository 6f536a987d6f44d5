package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpStatus
import java.net.InetSocketAddress
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Client of the key-value service over HTTP and JSON.
 *
 * A call that was not sent, or that the service rejected with 429 or 503, fails with
 * [StoreFault.Unavailable]; a response that is missing or malformed in any other way is
 * [StoreFault.OutcomeUnknown].
 */
class HttpKeyValueStore(
    client: HttpClient,
    address: InetSocketAddress,
    private val readBudget: CallBudget,
    private val writeBudget: CallBudget,
    private val timeoutMillis: Long = 2_000,
) : KeyValueStore {
    private val http =
        JsonClient(client, address, CallTimeouts(timeoutMillis, progressMillis = timeoutMillis))

    override suspend fun get(key: String): Either<StoreFault, VersionedValue?> {
        val response =
            call(readBudget, "GET", "/v1/kv/${urlEncode(key)}").getOrElse {
                return it.left()
            }
        if (response.status == HttpStatus.NOT_FOUND) return null.right()
        return parseValue(response.body).map { it }
    }

    override suspend fun list(prefix: String): Either<StoreFault, ImmutableList<VersionedValue>> {
        val response =
            call(readBudget, "GET", "/v1/kv", "prefix=${urlEncode(prefix)}").getOrElse {
                return it.left()
            }
        return parseValues(response.body?.get("entries"))
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String?,
    ): Either<StoreFault, Long> {
        val bytes = value.toByteArray()
        if (bytes.size > MAX_VALUE_BYTES) return StoreFault.TooLarge(bytes.size).left()
        val lease = leaseId?.let { "&lease=${urlEncode(it)}" }.orEmpty()
        val response =
            call(
                    writeBudget,
                    "PUT",
                    "/v1/kv/${urlEncode(key)}",
                    "expected=$expectedVersion$lease",
                    bytes,
                )
                .getOrElse {
                    return it.left()
                }
        return when (response.status) {
            HttpStatus.OK -> longField(response.body, "version")
            HttpStatus.CONFLICT -> parseConflict(response.body).left()
            HttpStatus.CONTENT_TOO_LARGE -> StoreFault.TooLarge(bytes.size).left()
            else -> malformed().left()
        }
    }

    override suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Either<StoreFault, WatchResult> {
        val query = "prefix=${urlEncode(prefix)}&after=$afterRevision&wait=$waitMillis"
        val timeouts = CallTimeouts(timeoutMillis, waitMillis + timeoutMillis)
        val response =
            call(readBudget, "GET", "/v1/watch", query, timeouts = timeouts).getOrElse {
                return it.left()
            }
        val revision =
            longField(response.body, "revision").getOrElse {
                return it.left()
            }
        return parseValues(response.body?.get("changes")).map { WatchResult(it, revision) }
    }

    override suspend fun grantLease(timeToLiveMillis: Long): Either<StoreFault, Lease> {
        val response =
            call(writeBudget, "POST", "/v1/leases", "ttl=$timeToLiveMillis").getOrElse {
                return it.left()
            }
        return parseLease(response)
    }

    override suspend fun renewLease(leaseId: String): Either<StoreFault, Lease> {
        val response =
            call(writeBudget, "POST", "/v1/leases/${urlEncode(leaseId)}/renew").getOrElse {
                return it.left()
            }
        if (response.status == HttpStatus.NOT_FOUND) return StoreFault.Conflict(null).left()
        return parseLease(response)
    }

    private suspend fun call(
        budget: CallBudget,
        method: String,
        path: String,
        query: String = "",
        body: ByteArray = ByteArray(0),
        timeouts: CallTimeouts = CallTimeouts(timeoutMillis, timeoutMillis),
    ): Either<StoreFault, JsonResponse> {
        val waitMillis = budget.acquireOrWaitMillis()
        if (waitMillis > 0) return StoreFault.BudgetExhausted(waitMillis).left()
        return http.call(method, path, query, body, timeouts).toStoreResponse(STORE)
    }

    private fun parseConflict(body: JsonNode?): StoreFault {
        val current = body?.get("current")?.takeUnless { it.isNull }
        return StoreFault.Conflict(parseValue(current).getOrNull())
    }

    private fun parseValue(node: JsonNode?): Either<StoreFault, VersionedValue> {
        val key = node?.get("key")?.textValue()
        val text = node?.get("value")?.textValue()
        val version = node?.get("version")?.takeIf { it.isIntegralNumber }?.longValue()
        if (key == null || text == null || version == null) return malformed().left()
        return VersionedValue(key, text, version).right()
    }

    private fun parseValues(node: JsonNode?): Either<StoreFault, ImmutableList<VersionedValue>> {
        if (node == null || !node.isArray) return malformed().left()
        return node
            .map { entry ->
                parseValue(entry).getOrElse {
                    return it.left()
                }
            }
            .toImmutableList()
            .right()
    }

    private fun parseLease(response: JsonResponse): Either<StoreFault, Lease> {
        val id = response.body?.get("id")?.textValue() ?: return malformed().left()
        return longField(response.body, "ttlMillis").map { Lease(id, it) }
    }

    private fun longField(node: JsonNode?, field: String): Either<StoreFault, Long> =
        node?.get(field)?.takeIf { it.isIntegralNumber }?.longValue()?.right() ?: malformed().left()

    private fun malformed(): StoreFault = malformedResponse(STORE)

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
        const val STORE = "key-value service"
    }
}
