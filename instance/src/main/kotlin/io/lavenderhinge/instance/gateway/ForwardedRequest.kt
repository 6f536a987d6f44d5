package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.RouteKind
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.platform.ClientRequestHeaders
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Carries one admitted request to its final answer.
 *
 * A request that is not repeatable is sent again only after proof that it did not run; a repeatable
 * one also after a failure. Each send beyond the first draws on the budget of repeats.
 */
internal class ForwardedRequest(
    private val services: ForwardingServices,
    private val exchange: HttpExchange,
    private val admitted: Admission.Admitted,
    private val facts: ClientRequestHeaders,
    private val arrivedMillis: Long,
) {
    private val route = admitted.route
    private val loop = services.loop
    private val deadlineMillis =
        arrivedMillis + minOf(facts.remainingMillis ?: route.timeoutMillis, route.timeoutMillis)
    private val promptTokens = (facts.promptTokens ?: 0).toDouble()
    private val relay =
        if (route.kind is RouteKind.Streaming) StreamRelay(exchange, facts.lastEventId) else null
    private var excluded = persistentSetOf<String>()
    private var sends = 0
    private var rejections = 0
    private var mayHaveRun = false
    private var isAnswered = false
    private var usesTargetVersion = false
    private var failedAnswer: AttemptResult.Answer? = null
    private val trail = RequestTrail(facts.requestId, route, admitted, arrivedMillis)

    /** Answers the request, or leaves it unanswered when a stream broke beyond repair. */
    suspend fun run() {
        try {
            val leftMillis = (deadlineMillis - loop.nowMillis()).coerceAtLeast(1)
            val isDone = withTimeoutOrNull(leftMillis) { send() } != null
            if (!isDone) fail("deadline", HttpStatus.GATEWAY_TIMEOUT)
        } finally {
            services.journal.record(trail, loop.nowMillis())
        }
    }

    private suspend fun send() {
        val service = pickService()
        trail.service = service
        usesTargetVersion =
            services.broker.rollouts.shouldUseTarget(service, route.name, services.instanceCount())
        services.repeats.onRequest(service, loop.nowMillis())
        while (true) {
            val grant =
                when (val effect = services.broker.acquire(ask(service))) {
                    is DispatchEffect.Assign -> effect
                    is DispatchEffect.Refuse -> return refuse(effect)
                }
            trail.sent(grant, loop.nowMillis())
            val result = call(grant)
            trail.ended(result)
            if (!repeats(result, grant, service)) return finish(result)
        }
    }

    private suspend fun call(grant: DispatchEffect.Assign): AttemptResult {
        val fields =
            UpstreamFields(
                grant.server,
                admitted.workspace?.name,
                deadlineMillis - loop.nowMillis(),
                relay?.lastEventId,
            )
        return UpstreamCall(
                services.client,
                services.broker,
                loop,
                grant,
                promptTokens,
                silenceLimits(grant),
                route.name,
            )
            .run(upstreamRequest(exchange.request, fields), relay)
    }

    // Takes note of how a send ended and tells whether the request is sent again.
    private fun repeats(
        result: AttemptResult,
        grant: DispatchEffect.Assign,
        service: String,
    ): Boolean {
        val isRepeatable =
            when (result) {
                is AttemptResult.Delivered -> return false
                is AttemptResult.NotRun -> {
                    rejections++
                    rejections <= MAX_REJECTIONS
                }
                is AttemptResult.Answer -> {
                    sends++
                    mayHaveRun = true
                    if (result.isFailure) failedAnswer = result
                    result.isFailure && route.isRetryable && sends < route.maxServers
                }
                is AttemptResult.Lost -> {
                    sends++
                    mayHaveRun = true
                    route.isRetryable && sends < route.maxServers
                }
            }
        excluded = excluded.add(grant.server.id)
        if (!isRepeatable) return false
        val wasSent = result !is AttemptResult.NotRun || result.wasSent
        return !wasSent ||
            services.repeats.tryRetry(service, services.instanceCount(), loop.nowMillis())
    }

    private suspend fun finish(result: AttemptResult) {
        when (result) {
            is AttemptResult.Delivered -> Unit
            is AttemptResult.Answer -> deliver(result)
            is AttemptResult.NotRun -> fail("not run")
            is AttemptResult.Lost -> fail("lost")
        }
    }

    private suspend fun deliver(answer: AttemptResult.Answer) {
        // These promise that nothing ran; without proof of the server they must not be passed on.
        val isPromise = answer.status in PROMISES
        if (isPromise && !route.isRetryable) return fail("promise without proof")
        respond(HttpResponse(answer.status, answer.body, answer.fields))
    }

    private suspend fun refuse(refusal: DispatchEffect.Refuse) {
        trail.refusal = refusal.reason.name
        val answer = failedAnswer
        when {
            relay?.isStarted == true -> fail("no server to resume at")
            answer != null -> deliver(answer)
            mayHaveRun -> fail("no other server")
            else -> respondNotRun(refusal.retryAfterMillis)
        }
    }

    private suspend fun fail(reason: String, status: Int = HttpStatus.BAD_GATEWAY) {
        trail.failure = reason
        // The connection of a stream that was begun is closed without its end by the listener.
        if (relay?.isStarted == true || isAnswered) return
        if (!mayHaveRun && !trail.isInFlight) return respondNotRun(RETRY_MILLIS)
        respond(problem(status))
    }

    private suspend fun respondNotRun(retryAfterMillis: Long) {
        respond(problem(HttpStatus.UNAVAILABLE, spread(retryAfterMillis)))
    }

    private suspend fun respond(response: HttpResponse) {
        isAnswered = true
        trail.status = response.status
        exchange.respond(response)
    }

    private fun ask(service: String) =
        DispatchRequest(
            id = services.broker.nextAskId(),
            service = service,
            priority = admitted.priority,
            promptTokens = promptTokens,
            expectedEvents = expectedEvents(service),
            arrivedMillis = arrivedMillis,
            targetMillis = arrivedMillis + route.targetLatencyMillis,
            deadlineMillis = deadlineMillis,
            excludedServers = excluded,
            usesTargetVersion = usesTargetVersion,
        )

    private fun expectedEvents(service: String): Double {
        if (route.kind !is RouteKind.Streaming) return 0.0
        val tokens = facts.expectedOutputTokens ?: facts.maxOutputTokens ?: return 0.0
        return tokens.toDouble() / services.tokensPerEvent(service)
    }

    private fun silenceLimits(grant: DispatchEffect.Assign): SilenceLimits {
        val leftMillis = (deadlineMillis - loop.nowMillis()).coerceAtLeast(1)
        val canRepeat =
            route.isRetryable &&
                sends + 1 < route.maxServers &&
                services.repeats.allowsRetry(
                    trail.service.orEmpty(),
                    services.instanceCount(),
                    loop.nowMillis(),
                )
        // Without another server to try or a repeat left, only the deadline ends the wait.
        if (!canRepeat) return SilenceLimits(leftMillis * 2, leftMillis * 2)
        val firstMillis =
            maxOf(
                FIRST_EVENT_TARGETS * route.targetLatencyMillis,
                (FIRST_EVENT_ESTIMATES * grant.expectedMillis).toLong(),
            )
        val kind = route.kind
        val gapMillis =
            if (kind is RouteKind.Streaming) kind.targetGapMillis.coerceAtMost(leftMillis)
            else leftMillis
        return SilenceLimits(
            firstMillis.coerceAtMost(leftMillis),
            maxOf(GAP_TARGETS * gapMillis, MIN_GAP_MILLIS).coerceAtMost(leftMillis),
        )
    }

    private fun pickService(): String {
        val destinations = route.destinations
        val total = destinations.sumOf { it.weight }
        var point = services.random.nextDouble() * total
        destinations.forEach {
            point -= it.weight
            if (point < 0) return it.service
        }
        return destinations.last().service
    }

    // Clients that were refused together must not come back together.
    private fun spread(retryAfterMillis: Long): Long =
        (retryAfterMillis * (1 + services.random.nextDouble())).toLong()

    private companion object {
        const val MAX_REJECTIONS = 3
        const val RETRY_MILLIS = 300L
        const val FIRST_EVENT_TARGETS = 2L
        const val FIRST_EVENT_ESTIMATES = 3.0
        const val GAP_TARGETS = 4L
        const val MIN_GAP_MILLIS = 1_000L
        val PROMISES =
            setOf(
                HttpStatus.REQUEST_TIMEOUT,
                HttpStatus.MISDIRECTED,
                HttpStatus.TOO_MANY_REQUESTS,
                HttpStatus.UNAVAILABLE,
            )
    }
}
