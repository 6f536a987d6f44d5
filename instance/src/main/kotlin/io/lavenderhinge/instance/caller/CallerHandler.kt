package io.lavenderhinge.instance.caller

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.InFlightCounter
import java.util.UUID
import kotlin.math.min

/** Validates requests against the active settings and passes them to the target's handler. */
internal class CallerHandler(
    private val services: RequestServices,
    private val modelHandler: ModelRequestHandler,
    private val serviceHandler: ServiceRequestHandler,
) : HttpHandler {
    private val inFlight = InFlightCounter()

    /** Number of requests in progress. */
    val inFlightCount: Int
        get() = inFlight.count

    override suspend fun handle(exchange: HttpExchange) = inFlight.counted { serve(exchange) }

    private suspend fun serve(exchange: HttpExchange) {
        val requestId = exchange.request.header("X-Request-Id") ?: UUID.randomUUID().toString()
        val body = Json.parseOrNull(exchange.request.body)
        validate(exchange.request, requestId, body)
            .fold(
                { problem ->
                    services.metrics.recordProblem(null, problem.code, problem.outcome.text)
                    exchange.respond(problem.response(sanitizeRequestId(requestId)))
                },
                { context -> dispatch(exchange, context, body) },
            )
    }

    private suspend fun dispatch(exchange: HttpExchange, context: RequestContext, body: JsonNode?) =
        when (context.route.target) {
            is Target.Model -> modelHandler.serve(exchange, context, body)
            is Target.Service -> serviceHandler.serve(exchange, context)
        }

    private fun validate(
        request: HttpRequest,
        requestId: String,
        body: JsonNode?,
    ): Either<Problem, RequestContext> = either {
        ensure(requestId.length in 1..MAX_REQUEST_ID_LENGTH && requestId.all { it in '!'..'~' }) {
            Problem.INVALID_REQUEST_ID
        }
        val routes = ensureNotNull(services.routes()) { Problem.NOT_READY }
        val credential = request.header("Authorization")?.removePrefix("Bearer ").orEmpty()
        val match = ensureNotNull(routes.workspaceFor(credential)) { Problem.UNKNOWN_CREDENTIAL }
        val route = findRoute(routes, match.team, request, body).bind()
        val nowMillis = services.nowMillis()
        RequestContext(
            requestId = requestId,
            attemptId = "${services.selfId}-${UUID.randomUUID()}",
            team = match.team,
            workspace = match.workspace,
            route = route,
            receivedMillis = nowMillis,
            deadlineMillis = nowMillis + parseTimeout(request, route).bind(),
        )
    }

    private fun findRoute(
        routes: RouteTable,
        team: TeamSettings,
        request: HttpRequest,
        body: JsonNode?,
    ): Either<Problem, Route> {
        val model = body?.path("model")?.textValue()
        val route = routes.routeFor(team, request.path, model) ?: return Problem.NO_ROUTE.left()
        val wrongMethod = route.target is Target.Model && request.method != "POST"
        return if (wrongMethod) Problem.METHOD_NOT_ALLOWED.left() else route.right()
    }

    private fun parseTimeout(request: HttpRequest, route: Route): Either<Problem, Long> {
        val text = request.header("X-Deadline-Ms") ?: return route.deadlineMillis.right()
        val millis = text.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLIS }
        if (millis == null) return Problem.INVALID_DEADLINE.left()
        return min(millis, route.deadlineMillis).right()
    }

    private fun sanitizeRequestId(requestId: String): String =
        requestId.filter { it in '!'..'~' }.take(MAX_REQUEST_ID_LENGTH)

    private companion object {
        const val MAX_REQUEST_ID_LENGTH = 128
        const val MAX_DEADLINE_MILLIS = 3_600_000L
    }
}
