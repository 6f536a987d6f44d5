package io.lavenderhinge.ctl

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.Address

/** `status`: reports which settings are in force where, and the state of each rollout. */
class StatusCommand(environment: Environment) :
    StoreCommand(
        "status",
        "Shows which settings are in force where, and the state of each rollout with its reason.",
        environment,
    ) {
    private val operators by
        option("--operator", metavar = "IP:PORT", help = "also queries this instance; repeatable")
            .convert { Address.parse(it) ?: fail("$it is not ip:port") }
            .multiple()

    override suspend fun execute(): Report {
        val stored =
            StoredSettingsReader(store).readTeams().getOrElse {
                return Report.failure(it.message, it.exitCode)
            }
        val statusValues =
            store
                .list(STATUS_PREFIX)
                .getOrElse {
                    return Report.failure(it.message, ExitCode.UNREACHABLE)
                }
                .associate { it.key.removePrefix(STATUS_PREFIX) to it.value }
        val formatter = StatusFormatter(stored, environment.nowMillis())
        val lines =
            formatter.teamLines() +
                formatter.failureDomainLines(
                    statusValues.filterKeys { it.startsWith(FAILURE_DOMAIN_PREFIX) }.values
                ) +
                formatter.topicLines(
                    statusValues.filterKeys { !it.startsWith(FAILURE_DOMAIN_PREFIX) }
                ) +
                operators.flatMap { instanceLines(it) }
        val json =
            mapOf(
                "teams" to stored.mapValues { it.value.settings.copy(text = "") },
                "status" to
                    statusValues.mapValues { Json.parseOrNull(it.value.toByteArray()) ?: it.value },
                "statements" to lines.map { it.text },
            )
        val needsAttention =
            lines.any { it.severity == Severity.ERROR || it.severity == Severity.WARNING }
        return Report(lines, json, if (needsAttention) ExitCode.DIFFERENT else ExitCode.DONE)
    }

    private suspend fun instanceLines(address: Address): List<Line> {
        val response =
            environment.getFromOperatorPort(address, "/status")
                ?: return listOf(Line("instance at $address: does not respond", Severity.ERROR))
        val ready = environment.getFromOperatorPort(address, "/readyz")?.status == STATUS_OK
        val body = Json.parseOrNull(response.body.toByteArray())
        val heading =
            if (ready) Line("instance at $address: ready", Severity.SUCCESS)
            else Line("instance at $address: not ready", Severity.ERROR)
        return listOf(heading) + body?.let { JsonText.lines(it, "  ") }.orEmpty().map { Line(it) }
    }

    private companion object {
        const val STATUS_PREFIX = "status/"
        const val FAILURE_DOMAIN_PREFIX = "settings/"
        const val STATUS_OK = 200
    }
}
