package io.lavenderhinge.instance.operator

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Data source of the operator endpoints. Functions may be called on any thread. */
class OperatorDataSource(
    /** Returns why the instance is not ready for traffic, or null if it is. */
    val notReadyReason: () -> String?,
    /** Returns active settings and current state as JSON-compatible values. */
    val status: suspend () -> Map<String, Any?>,
    /** Explains where a request of a team, route and workspace would be sent. */
    val explain: suspend (team: String, route: String, workspace: String) -> Map<String, Any?>,
)

/** Serves `/healthz`, `/readyz`, `/metrics`, `/status` and `/explain`. */
class OperatorHandler(
    private val source: OperatorDataSource,
    private val registry: PrometheusMeterRegistry,
) : HttpHandler {
    override suspend fun handle(exchange: HttpExchange) {
        when (exchange.request.path) {
            "/healthz" -> respond(exchange, HttpStatus.OK, mapOf("healthy" to true))
            "/readyz" -> respondReadiness(exchange)
            "/metrics" ->
                exchange.respond(
                    HttpResponse(
                        HttpStatus.OK,
                        registry.scrape().toByteArray(),
                        contentType = "text/plain; version=0.0.4; charset=utf-8",
                    )
                )
            "/status" -> respond(exchange, HttpStatus.OK, source.status())
            "/explain" -> respondExplanation(exchange)
            else -> respond(exchange, HttpStatus.NOT_FOUND, mapOf("code" to "no-such-path"))
        }
    }

    private suspend fun respondReadiness(exchange: HttpExchange) {
        val reason = source.notReadyReason()
        if (reason == null) respond(exchange, HttpStatus.OK, mapOf("ready" to true))
        else respond(exchange, HttpStatus.UNAVAILABLE, mapOf("ready" to false, "reason" to reason))
    }

    private suspend fun respondExplanation(exchange: HttpExchange) {
        val parameters = parseQuery(exchange.request.query)
        val team = parameters["team"]
        val route = parameters["route"]
        val workspace = parameters["workspace"]
        if (team == null || route == null || workspace == null) {
            val remedy = "give team, route and workspace"
            return respond(exchange, HttpStatus.BAD_REQUEST, mapOf("remedy" to remedy))
        }
        respond(exchange, HttpStatus.OK, source.explain(team, route, workspace))
    }

    private fun parseQuery(query: String): Map<String, String> =
        query
            .split('&')
            .filter { '=' in it }
            .associate {
                val value = it.substringAfter('=')
                it.substringBefore('=') to java.net.URLDecoder.decode(value, Charsets.UTF_8)
            }

    private suspend fun respond(exchange: HttpExchange, status: Int, value: Map<String, Any?>) =
        exchange.respond(HttpResponse(status, Json.render(value), contentType = "application/json"))
}
