package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.RouteKind
import io.lavenderhinge.core.forwarding.SilenceLimits
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.platform.ClientRequestHeaders
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Forwards one admitted request until it has a final response.
 *
 * A non-idempotent request is retried only if it was provably not executed; an idempotent one is
 * also retried after a failure. Each retry of a request that reached a server is charged to the
 * retry budget.
 */
internal class ForwardedRequest(
    private val context: ForwardingContext,
    private val exchange: HttpExchange,
    private val admitted: Admission.Admitted,
    private val clientHeaders: ClientRequestHeaders,
    private val arrivedMillis: Long,
) {
    private val route = admitted.route
    private val loop = context.loop
    private val deadlineMillis =
        arrivedMillis +
            minOf(clientHeaders.remainingMillis ?: route.timeoutMillis, route.timeoutMillis)
    private val relay =
        if (route.kind is RouteKind.Streaming) {
            StreamRelay(exchange, clientHeaders.lastEventId, loop::nowMillis)
        } else {
            null
        }
    private val history = AttemptHistory(route)
    private var isAnswered = false
    private var usesTargetVersion = false
    private val trace =
        RequestTrace(
            clientHeaders.requestId,
            route,
            admitted,
            arrivedMillis,
            clientHeaders.promptParts,
        )

    /** Responds to the request, unless a stream broke that cannot be resumed. */
    suspend fun run() {
        try {
            val leftMillis = (deadlineMillis - loop.nowMillis()).coerceAtLeast(1)
            val isDone = withTimeoutOrNull(leftMillis) { forward() } != null
            if (!isDone) fail("deadline", HttpStatus.GATEWAY_TIMEOUT)
        } finally {
            context.requestLog.ended(trace, loop.nowMillis())
        }
    }

    private suspend fun forward() {
        val service = pickService()
        trace.service = service
        usesTargetVersion =
            context.allocator.rollouts.shouldUseTarget(service, route.name, context.instanceCount())
        context.retryBudget.onRequest(service, loop.nowMillis())
        while (true) {
            val request = dispatchRequest(service)
            val grant =
                when (val effect = context.allocator.acquire(request)) {
                    is DispatchEffect.Assign -> effect
                    is DispatchEffect.Refuse -> return onRefused(effect)
                }
            trace.attemptStarted(grant, loop.nowMillis())
            val result = attempt(grant, request)
            trace.attemptEnded(result)
            if (!shouldRetry(result, grant, service)) return finish(result)
        }
    }

    private suspend fun attempt(
        grant: DispatchEffect.Assign,
        request: DispatchRequest,
    ): AttemptResult {
        val fields =
            UpstreamFields(
                grant.server,
                admitted.workspace?.name,
                deadlineMillis - loop.nowMillis(),
                relay?.lastEventId,
            )
        return UpstreamAttempt(
                context.client,
                context.allocator,
                loop,
                grant,
                request,
                progressTimeouts(grant),
                route,
            )
            .run(upstreamRequest(exchange.request, fields), relay)
    }

    // Records the result of an attempt and returns whether the request is retried.
    private fun shouldRetry(
        result: AttemptResult,
        grant: DispatchEffect.Assign,
        service: String,
    ): Boolean {
        if (!history.record(result, grant.server.id)) return false
        val wasSent = result !is AttemptResult.NotExecuted || result.wasSent
        return !wasSent ||
            context.retryBudget.tryRetry(service, context.instanceCount(), loop.nowMillis())
    }

    private suspend fun finish(result: AttemptResult) {
        when (result) {
            is AttemptResult.Delivered -> Unit
            is AttemptResult.Response -> deliver(result)
            is AttemptResult.NotExecuted -> fail("not run")
            is AttemptResult.OutcomeUnknown -> fail("lost")
        }
    }

    private suspend fun deliver(response: AttemptResult.Response) {
        // These statuses state that the request was not executed, so without proof from the server
        // they must not be passed on.
        val isNotExecutedStatus = response.status in NOT_EXECUTED_STATUSES
        if (isNotExecutedStatus && !route.isRetryable) return fail("promise without proof")
        respond(HttpResponse(response.status, response.body, response.fields))
    }

    private suspend fun onRefused(refusal: DispatchEffect.Refuse) {
        trace.refused(refusal)
        val response = history.failureResponse
        when {
            relay?.isStarted == true -> fail("no server to resume at")
            response != null -> deliver(response)
            history.mayHaveExecuted -> fail("no other server")
            else -> respondNotExecuted(refusal.retryAfterMillis)
        }
    }

    private suspend fun fail(reason: String, status: Int = HttpStatus.BAD_GATEWAY) {
        trace.failure = reason
        // The listener closes the connection of an unfinished stream without ending its body.
        if (relay?.isStarted == true || isAnswered) return
        if (!history.mayHaveExecuted && !trace.isInFlight)
            return respondNotExecuted(RETRY_AFTER_MILLIS)
        respond(emptyResponse(status))
    }

    private suspend fun respondNotExecuted(retryAfterMillis: Long) {
        respond(emptyResponse(HttpStatus.UNAVAILABLE, withJitter(retryAfterMillis)))
    }

    private suspend fun respond(response: HttpResponse) {
        isAnswered = true
        trace.status = response.status
        exchange.respond(response)
    }

    private fun dispatchRequest(service: String) =
        DispatchRequest(
            id = context.allocator.nextRequestId(),
            service = service,
            priority = admitted.priority,
            promptTokens = (clientHeaders.promptTokens ?: 0).toDouble(),
            promptParts = clientHeaders.promptParts,
            expectedEvents = expectedEvents(service),
            arrivedMillis = arrivedMillis,
            targetMillis = arrivedMillis + route.targetLatencyMillis,
            deadlineMillis = deadlineMillis,
            firstEventDeadlineMillis = minOf(deadlineMillis, arrivedMillis + route.patienceMillis),
            excludedServers = history.triedServers,
            usesTargetVersion = usesTargetVersion,
            hasLostServer = history.hasLostServer,
        )

    private fun expectedEvents(service: String): Double {
        if (route.kind !is RouteKind.Streaming) return 0.0
        val tokens =
            clientHeaders.expectedOutputTokens ?: clientHeaders.maxOutputTokens ?: return 0.0
        return tokens.toDouble() / context.tokensPerEvent(service)
    }

    private fun progressTimeouts(grant: DispatchEffect.Assign): ProgressTimeouts {
        val leftMillis = (deadlineMillis - loop.nowMillis()).coerceAtLeast(1)
        val canRetry =
            history.allowsFailure &&
                context.retryBudget.allowsRetry(
                    trace.service.orEmpty(),
                    context.instanceCount(),
                    loop.nowMillis(),
                )
        // If no retry is possible, only the deadline ends the wait.
        if (!canRetry) return ProgressTimeouts(leftMillis * 2, leftMillis * 2)
        val limits = SilenceLimits.of(route, grant.expectedMillis)
        return ProgressTimeouts(
            limits.firstEventMillis.coerceAtMost(leftMillis),
            limits.betweenEventsMillis.coerceAtMost(leftMillis),
        )
    }

    private fun pickService(): String {
        val destinations = route.destinations
        val total = destinations.sumOf { it.weight }
        var point = context.random.nextDouble() * total
        destinations.forEach {
            point -= it.weight
            if (point < 0) return it.service
        }
        return destinations.last().service
    }

    // Jitter keeps clients that were rejected together from retrying together.
    private fun withJitter(retryAfterMillis: Long): Long =
        (retryAfterMillis * (1 + context.random.nextDouble())).toLong()

    private companion object {
        const val RETRY_AFTER_MILLIS = 300L
        val NOT_EXECUTED_STATUSES =
            setOf(
                HttpStatus.REQUEST_TIMEOUT,
                HttpStatus.MISDIRECTED,
                HttpStatus.TOO_MANY_REQUESTS,
                HttpStatus.UNAVAILABLE,
            )
    }
}
