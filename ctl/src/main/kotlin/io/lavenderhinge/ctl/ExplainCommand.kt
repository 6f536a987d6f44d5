package io.lavenderhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.Address
import java.net.URLEncoder

/** `explain TEAM ROUTE WORKSPACE`: shows where a request would be routed, and why. */
class ExplainCommand(private val environment: Environment) :
    CtlCommand(
        "explain",
        "Shows where a request of a route and workspace would be routed, and why.",
    ) {
    private val operator by
        option(
                "--operator",
                envvar = "LAVENDERHINGE_OPERATOR",
                help = "operator port of the instance to query, ip:port",
            )
            .convert { Address.parse(it) ?: fail("$it is not ip:port") }
            .required()
    private val team by argument("TEAM")
    private val route by argument("ROUTE")
    private val workspace by argument("WORKSPACE")

    override suspend fun execute(): Report {
        val query = "team=${encode(team)}&route=${encode(route)}&workspace=${encode(workspace)}"
        val response =
            environment.getFromOperatorPort(operator, "/explain", query)
                ?: return Report.failure(
                    "the instance at $operator does not respond; check --operator",
                    ExitCode.UNREACHABLE,
                )
        val body = Json.parseOrNull(response.body.toByteArray())
        if (response.status != STATUS_OK || body == null) {
            val message =
                "the instance at $operator responded with status ${response.status}: " +
                    response.body
            return Report.failure(message, ExitCode.UNREACHABLE)
        }
        return Report(JsonText.lines(body).map { Line(it) }, mapOf("explanation" to body))
    }

    private fun encode(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        const val STATUS_OK = 200
    }
}
