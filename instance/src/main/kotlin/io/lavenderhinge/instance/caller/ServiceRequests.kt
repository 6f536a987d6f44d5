package io.lavenderhinge.instance.caller

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.core.settings.UntimedKeys
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.instance.scheduling.Slot
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Passes requests through to plain services.
 *
 * A request of a route that is not idempotent goes through the ledger, whatever its method; reads
 * with GET or HEAD are idempotent by definition.
 */
internal class ServiceRequests(
    private val services: RequestServices,
    private val client: HttpClient,
) {
    suspend fun serve(exchange: HttpExchange, context: RequestContext) {
        val readOnly = exchange.request.method in READ_METHODS
        if (context.route.idempotent || readOnly) serveIdempotent(exchange, context)
        else serveOnce(exchange, context)
    }

    private suspend fun serveIdempotent(exchange: HttpExchange, context: RequestContext) {
        val call = Call(exchange.request, context)
        when (val end = call.dispatch()) {
            is CallEnd.Answered -> answer(exchange, context, end.response)
            is CallEnd.NotSent -> refuse(exchange, context, end.problem)
            is CallEnd.Lost -> refuse(exchange, context, end.problem)
        }
    }

    private suspend fun serveOnce(exchange: HttpExchange, context: RequestContext) {
        val key =
            key(exchange.request, context)
                .fold(
                    {
                        return refuse(exchange, context, it)
                    },
                    { it },
                )
        val call = Call(exchange.request, context)
        val request =
            LedgerRequest(
                key,
                bodyHash(exchange.request),
                context.route.retentionMillis,
                context.deadlineMillis,
            )
        // The problem of the dispatch itself says more than the ledger's summary of it.
        var problem: Problem? = null
        val result =
            services.ledger.execute(request) {
                when (val end = call.dispatch()) {
                    is CallEnd.Answered -> DispatchOutcome.Answered(kept(end.response))
                    is CallEnd.NotSent -> {
                        problem = end.problem
                        DispatchOutcome.NeverSent(end.problem.code)
                    }
                    is CallEnd.Lost -> {
                        problem = end.problem
                        DispatchOutcome.Lost(end.problem.code)
                    }
                }
            }
        services.metrics.ledger(result::class.simpleName.orEmpty())
        tell(exchange, context, key, result, problem)
    }

    private suspend fun tell(
        exchange: HttpExchange,
        context: RequestContext,
        key: IdempotencyKey,
        result: LedgerResult,
        problem: Problem?,
    ) =
        when (result) {
            is LedgerResult.Answered ->
                answer(exchange, context, stored(result.answer, key, result.expiresAtMillis))
            is LedgerResult.Stored -> {
                val replayed = HttpField("Idempotency-Replayed", "true")
                answer(
                    exchange,
                    context,
                    stored(result.answer, key, result.expiresAtMillis, replayed),
                )
            }
            is LedgerResult.NotRun ->
                refuse(exchange, context, problem ?: LedgerProblems.of(result))
            is LedgerResult.Unknown ->
                refuse(exchange, context, problem ?: LedgerProblems.of(result))
            LedgerResult.Mismatch -> refuse(exchange, context, LedgerProblems.MISMATCH)
            LedgerResult.TooOld -> refuse(exchange, context, LedgerProblems.TOO_OLD)
        }

    private fun key(request: HttpRequest, context: RequestContext) =
        LedgerProblems.parseKey(
            request.header("Idempotency-Key"),
            context,
            services.nowMillis(),
            context.route.untimedKeys == UntimedKeys.ACCEPT,
        ) {
            IdempotencyKey.generate(context.workspace.id, it, Random.Default)
        }

    /** Covers method and target too: one key must not serve two different calls. */
    private fun bodyHash(request: HttpRequest): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${request.method} ${request.target}\n".toByteArray())
        digest.update(request.body)
        return HexFormat.of().formatHex(digest.digest()).take(HASH_CHARACTERS)
    }

    private fun kept(response: HttpResponse) =
        LedgerAnswer(response.status, response.contentType.orEmpty(), response.body)

    private fun stored(
        answer: LedgerAnswer,
        key: IdempotencyKey,
        expiresAtMillis: Long,
        vararg fields: HttpField,
    ): HttpResponse {
        val told =
            listOf(
                HttpField("Idempotency-Key", key.text),
                HttpField(
                    "Idempotency-Expires",
                    java.time.Instant.ofEpochMilli(expiresAtMillis).toString(),
                ),
            )
        return HttpResponse(answer.status, answer.body, told + fields, answer.contentType)
    }

    private suspend fun answer(
        exchange: HttpExchange,
        context: RequestContext,
        response: HttpResponse,
    ) {
        val millis = services.nowMillis() - context.receivedMillis
        val met = services.nowMillis() <= context.deadlineMillis
        services.metrics.answered(context.route.tier, context.workspace.id, millis, met)
        val fields = response.headers.filterNot { it.name.lowercase() in CONNECTION_FIELDS }
        exchange.respond(
            HttpResponse(
                response.status,
                response.body,
                fields + HttpField("X-Request-Id", context.requestId),
                response.contentType,
            )
        )
    }

    private suspend fun refuse(exchange: HttpExchange, context: RequestContext, problem: Problem) {
        services.metrics.refused(context.route.tier, problem.code, problem.outcome.text)
        exchange.respond(problem.response(context.requestId))
    }

    private sealed interface CallEnd {
        class Answered(val response: HttpResponse) : CallEnd

        class NotSent(val problem: Problem) : CallEnd

        class Lost(val problem: Problem) : CallEnd
    }

    /** One call of a service; tries another backend server only while nothing was sent. */
    private inner class Call(
        private val request: HttpRequest,
        private val context: RequestContext,
    ) {
        private val target = TeamTarget(context.team.team, context.route.target)

        suspend fun dispatch(): CallEnd {
            val version =
                services.versions.versionFor(target, context.attemptId)
                    ?: return CallEnd.NotSent(Problem.NO_ROUTE)
            repeat(DISPATCH_ATTEMPTS) { attempt ->
                val slot =
                    services.slots
                        .acquire(slotRequest(version, attempt))
                        .fold(
                            {
                                return CallEnd.NotSent(Problem.of(it))
                            },
                            { it },
                        )
                val end = send(slot)
                if (end != null) return end
            }
            return CallEnd.NotSent(NO_SERVER_TOOK_IT)
        }

        private fun slotRequest(version: String, attempt: Int) =
            SlotRequest(
                requestId = "${context.attemptId}.$attempt",
                target = context.route.target,
                version = version,
                tier = context.route.tier,
                workspace = context.workspace.id,
                weight = context.workspace.weight,
                deadlineMillis = context.deadlineMillis,
            )

        /** Returns null when the server certainly did not run the request. */
        private suspend fun send(slot: Slot): CallEnd? {
            services.metrics.dispatched(target.target.name, slot.server.version)
            val startedMillis = services.nowMillis()
            val leftMillis = (context.deadlineMillis - startedMillis).coerceAtLeast(1)
            val response =
                try {
                    withTimeoutOrNull(leftMillis) { call(slot, leftMillis) }
                } catch (e: HttpCallException.NotSent) {
                    end(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_REFUSED)
                    return null
                } catch (e: HttpCallException.OutcomeUnknown) {
                    end(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_RESET)
                    observe(slot, RequestOutcome.Failed)
                    return CallEnd.Lost(Problem.ENGINE_UNKNOWN)
                } catch (e: CancellationException) {
                    slot.done(SlotResult(ResultClass.CANCELLED))
                    throw e
                }
            if (response == null) {
                end(slot, ResultClass.TIMEOUT, FailureKind.TIMEOUT)
                observe(slot, RequestOutcome.TimedOut)
                return CallEnd.Lost(Problem.TIMEOUT)
            }
            return answered(slot, response, services.nowMillis() - startedMillis)
        }

        private suspend fun call(slot: Slot, leftMillis: Long): HttpResponse {
            val idempotent = context.route.idempotent
            val upstream =
                HttpRequest(
                    request.method,
                    request.path,
                    request.query,
                    headers(slot),
                    request.body,
                )
            // A pooled connection may have gone silent; a request that must not be repeated gets
            // a connection that was seen to work.
            return client.call(
                socketAddress(slot.server.address),
                upstream,
                CallTimeouts(progressMillis = leftMillis),
                reuseConnection = idempotent,
            )
        }

        private fun headers(slot: Slot): HttpHeaders {
            val headers = DefaultHttpHeaders()
            request.headers.forEach { (name, value) ->
                if (name.lowercase() !in CONNECTION_FIELDS) headers.add(name, value)
            }
            headers.remove("Authorization")
            request.header("Content-Type")?.let { headers.set("Content-Type", it) }
            headers.set("X-Request-Id", context.attemptId)
            headers.set("X-Service-Version", slot.server.version)
            return headers
        }

        private fun answered(slot: Slot, response: HttpResponse, millis: Long): CallEnd? {
            val draining = response.status == STATUS_UNAVAILABLE && drains(response)
            if (draining) {
                end(slot, ResultClass.DRAINING, FailureKind.DRAINING)
                return null
            }
            if (response.status >= STATUS_SERVER_ERROR) {
                end(slot, ResultClass.SERVER_ERROR, FailureKind.SERVER_ERROR)
                observe(slot, RequestOutcome.Failed)
            } else {
                slot.done(SlotResult(ResultClass.OK, firstTokenMillis = millis))
                services.evidence.answered(slot.server.id, null)
                observe(slot, RequestOutcome.Answered(millis))
            }
            return CallEnd.Answered(response)
        }

        private fun end(slot: Slot, result: ResultClass, kind: FailureKind) {
            slot.done(SlotResult(result))
            services.evidence.failed(slot.server.id, kind)
        }

        private fun observe(slot: Slot, outcome: RequestOutcome) =
            services.versions.observe(target, context.route.name, slot.server.version, outcome)

        private fun drains(response: HttpResponse): Boolean =
            Json.parseOrNull(response.body)?.path("draining")?.asBoolean(false) ?: false
    }

    private companion object {
        const val DISPATCH_ATTEMPTS = 3
        const val HASH_CHARACTERS = 32
        const val STATUS_SERVER_ERROR = 500
        const val STATUS_UNAVAILABLE = 503
        val READ_METHODS = setOf("GET", "HEAD")
        val CONNECTION_FIELDS =
            setOf(
                "connection",
                "content-length",
                "content-type",
                "host",
                "keep-alive",
                "te",
                "transfer-encoding",
                "upgrade",
                "x-request-id",
            )
        val NO_SERVER_TOOK_IT =
            Problem.notRun(503, "no-backend-server", "retry; no backend server took it", 1_000)
    }
}
