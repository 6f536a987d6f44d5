package io.lavenderhinge.instance.caller

import io.lavenderhinge.core.ledger.DispatchOutcome
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerRequest
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.settings.UntimedKeys
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.random.Random
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

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
        val call = ServiceCall(services, client, exchange.request, context)
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
        val call = ServiceCall(services, client, exchange.request, context)
        val request =
            LedgerRequest(
                key,
                bodyHash(exchange.request),
                context.route.retentionMillis,
                context.deadlineMillis,
            )
        // The problem of the dispatch itself says more than the ledger's summary of it.
        var problem: Problem? = null
        // A caller that disconnects does not stop the one dispatch, so that its answer is recorded.
        val result =
            withContext(NonCancellable) {
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

    private companion object {
        const val HASH_CHARACTERS = 32
        val READ_METHODS = setOf("GET", "HEAD")
    }
}
