package io.lavenderhinge.instance.caller

import arrow.core.getOrElse
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.adapters.RequestIdHeader
import io.lavenderhinge.adapters.RequestLimitHeader
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.instance.scheduling.Slot
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/** Outcome of a service call. */
internal sealed interface ServiceCallOutcome {
    /** The service sent a response. */
    class Answered(val response: HttpResponse) : ServiceCallOutcome

    /** The request was not sent, or the service refused it without running it. */
    class NotSent(val problem: Problem) : ServiceCallOutcome

    /** The request may have run. */
    class Lost(val problem: Problem) : ServiceCallOutcome
}

/** Calls a service, retrying on another backend server only if the request was not run. */
internal class ServiceCall(
    private val services: RequestServices,
    private val client: HttpClient,
    private val request: HttpRequest,
    private val context: RequestContext,
) {
    private val target = TeamTarget(context.team.team, context.route.target)

    suspend fun dispatch(): ServiceCallOutcome {
        val version =
            services.versionSelector.versionFor(target, context.attemptId)
                ?: return ServiceCallOutcome.NotSent(Problem.NO_ROUTE)
        repeat(MAX_DISPATCH_ATTEMPTS) { attempt ->
            val slot =
                services.slots.acquire(slotRequest(version, attempt)).getOrElse {
                    return ServiceCallOutcome.NotSent(Problem.of(it))
                }
            val outcome = send(slot)
            if (outcome != null) return outcome
        }
        return ServiceCallOutcome.NotSent(Problem.NO_BACKEND_SERVER)
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
            attempt = attempt,
        )

    /** Returns null if the server is known not to have run the request. */
    private suspend fun send(slot: Slot): ServiceCallOutcome? {
        services.metrics.recordDispatch(target.target.name, slot.server.version)
        val startedMillis = services.nowMillis()
        val remainingMillis = (context.deadlineMillis - startedMillis).coerceAtLeast(1)
        val response =
            try {
                withTimeoutOrNull(remainingMillis) { callServer(slot, remainingMillis) }
            } catch (_: HttpCallException.NotSent) {
                reportFailure(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_REFUSED)
                return null
            } catch (_: HttpCallException.OutcomeUnknown) {
                reportFailure(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_RESET)
                recordOutcome(slot, RequestOutcome.Failed)
                return ServiceCallOutcome.Lost(Problem.ANSWER_LOST)
            } catch (e: CancellationException) {
                slot.done(SlotResult(ResultClass.CANCELLED))
                throw e
            }
        if (response == null) {
            reportFailure(slot, ResultClass.TIMEOUT, FailureKind.TIMEOUT)
            recordOutcome(slot, RequestOutcome.TimedOut)
            return ServiceCallOutcome.Lost(Problem.DEADLINE_EXCEEDED)
        }
        return handleResponse(slot, response, services.nowMillis() - startedMillis)
    }

    private suspend fun callServer(slot: Slot, remainingMillis: Long): HttpResponse {
        val idempotent = context.route.idempotent
        val upstream =
            HttpRequest(
                request.method,
                request.path,
                request.query,
                upstreamHeaders(slot),
                request.body,
            )
        // A pooled connection may be dead, which would leave the outcome unknown. Requests that
        // are not idempotent therefore use a new connection.
        return client.call(
            socketAddress(slot.server.address),
            upstream,
            CallTimeouts(progressMillis = remainingMillis),
            reuseConnection = idempotent,
            matcher = RequestIdHeader.matcher(context.attemptId),
        )
    }

    private fun upstreamHeaders(slot: Slot): HttpHeaders {
        val headers = DefaultHttpHeaders()
        request.headers.forEach { (name, value) ->
            if (name.lowercase() !in UNFORWARDED_HEADERS) headers.add(name, value)
        }
        headers.remove("Authorization")
        request.header("Content-Type")?.let { headers.set("Content-Type", it) }
        headers.set(RequestIdHeader.NAME, context.attemptId)
        headers.set("X-Service-Version", slot.server.version)
        return headers
    }

    private fun handleResponse(
        slot: Slot,
        response: HttpResponse,
        latencyMillis: Long,
    ): ServiceCallOutcome? {
        val limitStatement = RequestLimitHeader.decode(response.header(RequestLimitHeader.NAME))
        val draining = response.status == HttpStatus.UNAVAILABLE && isDraining(response)
        if (draining) {
            reportFailure(slot, ResultClass.DRAINING, FailureKind.DRAINING, limitStatement)
            return null
        }
        if (response.status >= HttpStatus.SERVER_ERROR) {
            reportFailure(slot, ResultClass.SERVER_ERROR, FailureKind.SERVER_ERROR, limitStatement)
            recordOutcome(slot, RequestOutcome.Failed)
        } else {
            slot.done(SlotResult(ResultClass.OK, latencyMillis, limitStatement = limitStatement))
            services.serverOutcomes.recordSuccess(slot.server.id, null)
            recordOutcome(slot, RequestOutcome.Answered(latencyMillis))
        }
        return ServiceCallOutcome.Answered(response)
    }

    private fun reportFailure(
        slot: Slot,
        result: ResultClass,
        kind: FailureKind,
        limitStatement: LimitStatement? = null,
    ) {
        slot.done(SlotResult(result, limitStatement = limitStatement))
        services.serverOutcomes.recordFailure(slot.server.id, kind)
    }

    private fun recordOutcome(slot: Slot, outcome: RequestOutcome) =
        services.versionSelector.recordOutcome(
            target,
            context.route.name,
            slot.server.version,
            outcome,
        )

    private fun isDraining(response: HttpResponse): Boolean =
        Json.parseOrNull(response.body)?.path("draining")?.asBoolean(false) ?: false
}

/** Header fields that are specific to a connection or set by the instance. */
internal val UNFORWARDED_HEADERS =
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

/** Number of dispatch attempts before a request is rejected. */
internal const val MAX_DISPATCH_ATTEMPTS = 3
