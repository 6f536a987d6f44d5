package io.lavenderhinge.instance.caller

import arrow.core.getOrElse
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
 * Forwards requests to plain services.
 *
 * Requests on routes that are not idempotent go through the ledger, except GET and HEAD, which are
 * idempotent by definition.
 */
internal class ServiceRequestHandler(
    private val services: RequestServices,
    private val client: HttpClient,
) {
    suspend fun serve(exchange: HttpExchange, context: RequestContext) {
        val readOnly = exchange.request.method in READ_ONLY_METHODS
        if (context.route.idempotent || readOnly) serveIdempotent(exchange, context)
        else serveThroughLedger(exchange, context)
    }

    private suspend fun serveIdempotent(exchange: HttpExchange, context: RequestContext) {
        val call = ServiceCall(services, client, exchange.request, context)
        when (val outcome = call.dispatch()) {
            is ServiceCallOutcome.Answered -> respond(exchange, context, outcome.response)
            is ServiceCallOutcome.NotSent ->
                services.respondWithProblem(exchange, context, outcome.problem)
            is ServiceCallOutcome.Lost ->
                services.respondWithProblem(exchange, context, outcome.problem)
        }
    }

    private suspend fun serveThroughLedger(exchange: HttpExchange, context: RequestContext) {
        val key =
            parseKey(exchange.request, context).getOrElse {
                return services.respondWithProblem(exchange, context, it)
            }
        val call = ServiceCall(services, client, exchange.request, context)
        val request =
            LedgerRequest(
                key,
                requestHash(exchange.request),
                context.route.retentionMillis,
                context.deadlineMillis,
            )
        // More specific than the ledger's result, so it takes precedence in the response.
        var dispatchProblem: Problem? = null
        // The dispatch continues if the caller disconnects, so that its response is recorded.
        val result =
            withContext(NonCancellable) {
                services.ledger.execute(request) {
                    when (val outcome = call.dispatch()) {
                        is ServiceCallOutcome.Answered ->
                            DispatchOutcome.Answered(ledgerAnswer(outcome.response))
                        is ServiceCallOutcome.NotSent -> {
                            dispatchProblem = outcome.problem
                            DispatchOutcome.NeverSent(outcome.problem.code)
                        }
                        is ServiceCallOutcome.Lost -> {
                            dispatchProblem = outcome.problem
                            DispatchOutcome.Lost(outcome.problem.code)
                        }
                    }
                }
            }
        services.metrics.recordLedgerResult(result::class.simpleName.orEmpty())
        respondToResult(exchange, context, key, result, dispatchProblem)
    }

    private suspend fun respondToResult(
        exchange: HttpExchange,
        context: RequestContext,
        key: IdempotencyKey,
        result: LedgerResult,
        dispatchProblem: Problem?,
    ) =
        when (result) {
            is LedgerResult.Answered ->
                respond(
                    exchange,
                    context,
                    responseWithKey(result.answer, key, result.expiresAtMillis),
                )
            is LedgerResult.Stored -> {
                val replayed = HttpField("Idempotency-Replayed", "true")
                respond(
                    exchange,
                    context,
                    responseWithKey(result.answer, key, result.expiresAtMillis, replayed),
                )
            }
            is LedgerResult.NotRun ->
                services.respondWithProblem(
                    exchange,
                    context,
                    dispatchProblem ?: LedgerProblems.of(result),
                )
            is LedgerResult.Unknown ->
                services.respondWithProblem(
                    exchange,
                    context,
                    dispatchProblem ?: LedgerProblems.of(result),
                )
            LedgerResult.Mismatch ->
                services.respondWithProblem(exchange, context, LedgerProblems.KEY_REUSED)
            LedgerResult.TooOld ->
                services.respondWithProblem(exchange, context, LedgerProblems.KEY_EXPIRED)
        }

    private fun parseKey(request: HttpRequest, context: RequestContext) =
        LedgerProblems.parseKey(
            request.header("Idempotency-Key"),
            context,
            services.nowMillis(),
            context.route.untimedKeys == UntimedKeys.ACCEPT,
        ) {
            IdempotencyKey.generate(context.workspace.id, it, Random.Default)
        }

    /** Hashes method, target and body, so that a key cannot be reused for a different request. */
    private fun requestHash(request: HttpRequest): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${request.method} ${request.target}\n".toByteArray())
        digest.update(request.body)
        return HexFormat.of().formatHex(digest.digest()).take(HASH_LENGTH)
    }

    private fun ledgerAnswer(response: HttpResponse) =
        LedgerAnswer(response.status, response.contentType.orEmpty(), response.body)

    private fun responseWithKey(
        answer: LedgerAnswer,
        key: IdempotencyKey,
        expiresAtMillis: Long,
        vararg fields: HttpField,
    ): HttpResponse {
        val keyFields =
            listOf(
                HttpField("Idempotency-Key", key.text),
                HttpField(
                    "Idempotency-Expires",
                    java.time.Instant.ofEpochMilli(expiresAtMillis).toString(),
                ),
            )
        return HttpResponse(answer.status, answer.body, keyFields + fields, answer.contentType)
    }

    private suspend fun respond(
        exchange: HttpExchange,
        context: RequestContext,
        response: HttpResponse,
    ) {
        val elapsedMillis = services.nowMillis() - context.receivedMillis
        val deadlineMet = services.nowMillis() <= context.deadlineMillis
        services.metrics.recordAnswered(
            context.route.tier,
            context.workspace.id,
            elapsedMillis,
            deadlineMet,
        )
        val fields = response.headers.filterNot { it.name.lowercase() in UNFORWARDED_HEADERS }
        exchange.respond(
            HttpResponse(
                response.status,
                response.body,
                fields + HttpField("X-Request-Id", context.requestId),
                response.contentType,
            )
        )
    }

    private companion object {
        const val HASH_LENGTH = 32
        val READ_ONLY_METHODS = setOf("GET", "HEAD")
    }
}
