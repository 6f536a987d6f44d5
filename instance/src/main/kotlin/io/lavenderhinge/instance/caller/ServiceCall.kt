package io.lavenderhinge.instance.caller

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.health.FailureKind
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

/** How a call of a service ended. */
internal sealed interface CallEnd {
    /** The service answered. */
    class Answered(val response: HttpResponse) : CallEnd

    /** Nothing was sent, or the service refused to run it. */
    class NotSent(val problem: Problem) : CallEnd

    /** The request may have run. */
    class Lost(val problem: Problem) : CallEnd
}

/** One call of a service; tries another backend server only while nothing was sent. */
internal class ServiceCall(
    private val services: RequestServices,
    private val client: HttpClient,
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
        return CallEnd.NotSent(Problem.NO_SERVER_TOOK_IT)
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

    /** Returns null when the server certainly did not run the request. */
    private suspend fun send(slot: Slot): CallEnd? {
        services.metrics.dispatched(target.target.name, slot.server.version)
        val startedMillis = services.nowMillis()
        val leftMillis = (context.deadlineMillis - startedMillis).coerceAtLeast(1)
        val response =
            try {
                withTimeoutOrNull(leftMillis) { call(slot, leftMillis) }
            } catch (_: HttpCallException.NotSent) {
                finish(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_REFUSED)
                return null
            } catch (_: HttpCallException.OutcomeUnknown) {
                finish(slot, ResultClass.CONNECTION_FAILED, FailureKind.CONNECTION_RESET)
                observe(slot, RequestOutcome.Failed)
                return CallEnd.Lost(Problem.ENGINE_UNKNOWN)
            } catch (e: CancellationException) {
                slot.done(SlotResult(ResultClass.CANCELLED))
                throw e
            }
        if (response == null) {
            finish(slot, ResultClass.TIMEOUT, FailureKind.TIMEOUT)
            observe(slot, RequestOutcome.TimedOut)
            return CallEnd.Lost(Problem.TIMEOUT)
        }
        return answered(slot, response, services.nowMillis() - startedMillis)
    }

    private suspend fun call(slot: Slot, leftMillis: Long): HttpResponse {
        val idempotent = context.route.idempotent
        val upstream =
            HttpRequest(request.method, request.path, request.query, headers(slot), request.body)
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
        val draining = response.status == HttpStatus.UNAVAILABLE && drains(response)
        if (draining) {
            finish(slot, ResultClass.DRAINING, FailureKind.DRAINING)
            return null
        }
        if (response.status >= HttpStatus.SERVER_ERROR) {
            finish(slot, ResultClass.SERVER_ERROR, FailureKind.SERVER_ERROR)
            observe(slot, RequestOutcome.Failed)
        } else {
            slot.done(SlotResult(ResultClass.OK, firstTokenMillis = millis))
            services.evidence.answered(slot.server.id, null)
            observe(slot, RequestOutcome.Answered(millis))
        }
        return CallEnd.Answered(response)
    }

    private fun finish(slot: Slot, result: ResultClass, kind: FailureKind) {
        slot.done(SlotResult(result))
        services.evidence.failed(slot.server.id, kind)
    }

    private fun observe(slot: Slot, outcome: RequestOutcome) =
        services.versions.observe(target, context.route.name, slot.server.version, outcome)

    private fun drains(response: HttpResponse): Boolean =
        Json.parseOrNull(response.body)?.path("draining")?.asBoolean(false) ?: false
}

/** Header fields that belong to one connection or are set anew. */
internal val CONNECTION_FIELDS =
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

/** Backend servers tried for one request while none has taken it. */
internal const val DISPATCH_ATTEMPTS = 3
