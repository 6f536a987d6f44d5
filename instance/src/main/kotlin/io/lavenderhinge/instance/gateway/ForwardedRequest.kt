package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.DispatchRefusal
import io.lavenderhinge.core.forwarding.DispatchRequest
import io.lavenderhinge.core.forwarding.ForwardingTable
import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.core.forwarding.RequestDeadline
import io.lavenderhinge.core.forwarding.RequestLimit
import io.lavenderhinge.core.forwarding.RequestTiming
import io.lavenderhinge.core.forwarding.ResumePacing
import io.lavenderhinge.core.forwarding.RouteKind
import io.lavenderhinge.core.quarantine.RequestDigest
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.platform.ClientRequestHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
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
    private val admittedRoute: AdmittedRoute,
) {
    private val route = admitted.route
    private val loop = context.loop
    private val deadline =
        RequestDeadline(arrivedMillis, clientHeaders.remainingMillis, route.timeoutMillis)
    private val timing = RequestTiming(route, arrivedMillis, deadline)
    private val relay =
        if (route.kind is RouteKind.Streaming) {
            StreamRelay(exchange, clientHeaders.lastEventId, loop::nowMillis)
        } else {
            null
        }
    private val history = AttemptHistory(route)
    private val digest =
        exchange.request.let {
            RequestDigest(admitted.workspace?.name, it.method, it.target, it.body)
        }
    private val resumePacing = ResumePacing()
    private val hasBegun: Boolean
        get() = relay?.isStarted == true

    private val chargeReturn =
        ChargeReturn(admitted.charge) { charge ->
            trace.service?.let { context.returnCharge(it, charge) } ?: false
        }
    private var isAnswered = false
    private var usesTargetVersion = false
    private val trace =
        RequestTrace(
            clientHeaders.requestId,
            route,
            admitted,
            admittedRoute.version,
            arrivedMillis,
            clientHeaders.promptParts,
        )

    /** Responds to the request, unless a stream broke that cannot be resumed. */
    suspend fun run() {
        try {
            if (!forwardInTime()) fail(failureOf(deadline.limit), HttpStatus.GATEWAY_TIMEOUT)
        } finally {
            chargeReturn.onEnd()
            trace.eventCount = relay?.eventCount ?: 0
            context.requestLog.ended(trace, loop.nowMillis())
        }
    }

    /** Takes over a timeout that [table] raises. */
    fun onConfigurationChanged(table: ForwardingTable) {
        admittedRoute.timeoutMillisIn(table)?.let(deadline::onTimeoutChanged)
    }

    // Returns false if the request has been cancelled at its deadline.
    private suspend fun forwardInTime(): Boolean = coroutineScope {
        val forwarding = async(start = CoroutineStart.UNDISPATCHED) { forward() }
        do {
            val leftMillis = (deadline.endMillis - loop.nowMillis()).coerceAtLeast(1)
            if (withTimeoutOrNull(leftMillis) { forwarding.await() } != null)
                return@coroutineScope true
        } while (loop.nowMillis() < deadline.endMillis)
        forwarding.cancelAndJoin()
        false
    }

    private suspend fun CoroutineScope.forward() {
        val service = pickService()
        trace.service = service
        usesTargetVersion =
            context.allocator.rollouts.shouldUseTarget(
                service,
                route.name,
                context.instanceCount(),
                expectedEvents(service),
            )
        context.retryBudget.onRequest(service, loop.nowMillis())
        val replacement = replacementFor(service)
        try {
            while (true) {
                val second = replacement.take()
                val slot = second?.slot ?: acquire(service) ?: return
                replacement.currentServerId = slot.serverId
                val result = second?.takeOver() ?: attempt(slot, replacement, ImmediateTurn)
                trace.attemptEnded(result)
                if (!awaitRetry(result, slot, replacement)) return finish(result)
            }
        } finally {
            replacement.close()
        }
    }

    // Returns null if the request was refused, which has been answered then.
    private suspend fun acquire(service: String): AssignedSlot? {
        while (true) {
            val request = dispatchRequest(service)
            when (val effect = context.allocator.acquire(request)) {
                is DispatchEffect.Assign -> return AssignedSlot(effect, request)
                is DispatchEffect.Refuse ->
                    if (!awaitResumption(effect)) {
                        onRefused(effect)
                        return null
                    }
            }
        }
    }

    // Returns true after a pause if servers may take the rest of a stream then. The deadline ends
    // the tries.
    private suspend fun awaitResumption(refusal: DispatchEffect.Refuse): Boolean {
        if (!hasBegun || refusal.reason in CRASH_REFUSALS) return false
        trace.resumptionRefused(refusal)
        history.forgetRefusals()
        delay(ResumePacing.INTERVAL_MILLIS)
        return true
    }

    private fun CoroutineScope.replacementFor(service: String): ServerReplacement {
        val steps =
            object : ReplacementSteps {
                override val hasBegun: Boolean
                    get() = this@ForwardedRequest.hasBegun

                override fun dispatchRequest() = dispatchRequest(service)

                override suspend fun attempt(
                    slot: AssignedSlot,
                    replacement: ServerReplacement,
                    turn: AttemptTurn,
                ) = this@ForwardedRequest.attempt(slot, replacement, turn)

                override fun isAllowed(nowMillis: Long): Boolean =
                    history.allowsFailure &&
                        history.allowsRefusal(hasBegun) &&
                        context.retryBudget.allowsRetry(service, context.instanceCount(), nowMillis)

                override fun tryUse(nowMillis: Long): Boolean =
                    context.retryBudget.tryRetry(service, context.instanceCount(), nowMillis)
            }
        return ServerReplacement(this, context.allocator, loop::nowMillis, history, trace, steps)
    }

    private suspend fun attempt(
        slot: AssignedSlot,
        replacement: ServerReplacement,
        turn: AttemptTurn,
    ): AttemptResult {
        trace.attemptStarted(slot.grant, loop.nowMillis())
        chargeReturn.onAttempt()
        val fields =
            UpstreamFields(
                slot.grant.server,
                admitted.workspace?.name,
                deadline.serverEndMillis - loop.nowMillis(),
                relay?.lastEventId,
            )
        val attempt =
            UpstreamAttempt(
                context.client,
                context.allocator,
                loop,
                slot,
                route,
                replacement,
                turn,
                context.ignoredStatements,
                maySend = { context.maySendTo(slot.grant.server) },
            )
        try {
            return attempt
                .run(upstreamRequest(exchange.request, fields), relay)
                .also(chargeReturn::onResult)
        } finally {
            trace.responsesObserved(attempt.responses)
        }
    }

    // Records the result of an attempt and returns whether the request is retried, when it may be.
    private suspend fun awaitRetry(
        result: AttemptResult,
        slot: AssignedSlot,
        replacement: ServerReplacement,
    ): Boolean {
        if (!history.record(result, slot.serverId, hasBegun)) return false
        // The budget was charged when the request was sent there.
        if (replacement.isReady) return true
        val wasSent = result !is AttemptResult.NotExecuted || result.wasSent
        if (!hasBegun) return !wasSent || replacement.tryUse(loop.nowMillis())
        if (result is AttemptResult.NotExecuted) delay(resumePacing.onRefused())
        else resumePacing.onTaken()
        while (wasSent && !replacement.tryUse(loop.nowMillis())) {
            trace.resumptionDelayed()
            delay(ResumePacing.INTERVAL_MILLIS)
        }
        return true
    }

    private suspend fun finish(result: AttemptResult) {
        when (result) {
            is AttemptResult.Delivered -> Unit
            is AttemptResult.Response -> deliver(result)
            is AttemptResult.NotExecuted -> fail(ForwardingFailure.NOT_EXECUTED)
            is AttemptResult.OutcomeUnknown,
            is AttemptResult.Replaced -> fail(ForwardingFailure.LOST)
        }
    }

    private suspend fun deliver(response: AttemptResult.Response) {
        // It cannot take the place of the rest of a stream.
        if (hasBegun) return fail(ForwardingFailure.NOT_RESUMED)
        // These statuses state that the request was not executed, so without proof from the server
        // they must not be passed on.
        val isNotExecutedStatus = response.status in NOT_EXECUTED_STATUSES
        if (isNotExecutedStatus && !route.isRetryable)
            return fail(ForwardingFailure.UNPROVEN_STATUS)
        respond(HttpResponse(response.status, response.body, response.fields))
    }

    private suspend fun onRefused(refusal: DispatchEffect.Refuse) {
        trace.refused(refusal)
        val response = history.failureResponse
        when {
            hasBegun -> fail(ForwardingFailure.NOT_RESUMED)
            response != null -> deliver(response)
            history.mayHaveExecuted -> fail(ForwardingFailure.NO_OTHER_SERVER)
            // The end of a pause is known, so clients need not be spread over a longer time.
            refusal.reason == DispatchRefusal.PAUSED ->
                respondNotExecuted(refusal.retryAfterMillis, PAUSE_END_SPREAD_MILLIS)
            refusal.isPaced -> respondNotExecuted(refusal.retryAfterMillis, spreadMillis = 0)
            else -> respondNotExecuted(refusal.retryAfterMillis)
        }
    }

    private fun failureOf(limit: RequestLimit): ForwardingFailure =
        when (limit) {
            RequestLimit.CLIENT -> ForwardingFailure.CLIENT_DEADLINE
            RequestLimit.ROUTE -> ForwardingFailure.ROUTE_TIMEOUT
        }

    private suspend fun fail(failure: ForwardingFailure, status: Int = HttpStatus.BAD_GATEWAY) {
        trace.failure = failure
        // The listener closes the connection of an unfinished stream without ending its body.
        if (hasBegun || isAnswered) return
        if (!history.mayHaveExecuted && !trace.isInFlight)
            return respondNotExecuted(RETRY_AFTER_MILLIS)
        respond(emptyResponse(status))
    }

    private suspend fun respondNotExecuted(
        retryAfterMillis: Long,
        spreadMillis: Long = retryAfterMillis,
    ) {
        // The client may come back at once.
        chargeReturn.onEnd()
        val spreadRetryMillis = withJitter(retryAfterMillis, spreadMillis)
        respond(emptyResponse(HttpStatus.UNAVAILABLE, spreadRetryMillis))
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
            targetMillis = timing.targetMillis(relay?.lastEventMillis),
            deadlineMillis = deadline.endMillis,
            firstEventDeadlineMillis = timing.patienceEndMillis(relay?.lastEventMillis),
            excludedServers = history.triedServers,
            usesTargetVersion = usesTargetVersion,
            hasLostServer = history.hasLostServer,
            digest = digest,
            workspace = admitted.workspace?.name,
            allowedRegions = RegionTable.allowedRegions(route, admitted.workspace),
        )

    private fun expectedEvents(service: String): Double {
        if (route.kind !is RouteKind.Streaming) return 0.0
        val tokens =
            clientHeaders.expectedOutputTokens ?: clientHeaders.maxOutputTokens ?: return 0.0
        return tokens.toDouble() / context.tokensPerEvent(service)
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
    private fun withJitter(retryAfterMillis: Long, spreadMillis: Long): Long =
        retryAfterMillis + (spreadMillis * context.random.nextDouble()).toLong()

    private companion object {
        const val RETRY_AFTER_MILLIS = 300L
        const val PAUSE_END_SPREAD_MILLIS = 500L
        /** A stream that may crash servers is not tried again. */
        val CRASH_REFUSALS = setOf(DispatchRefusal.QUARANTINED, DispatchRefusal.SUSPECTED)
        val NOT_EXECUTED_STATUSES =
            setOf(
                HttpStatus.REQUEST_TIMEOUT,
                HttpStatus.MISDIRECTED,
                HttpStatus.TOO_MANY_REQUESTS,
                HttpStatus.UNAVAILABLE,
            )
    }
}
