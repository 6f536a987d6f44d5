package io.lavenderhinge.ctl

import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.Address

/** `status`: what is in force and where, and which rollout is under way, done or undone. */
class StatusCommand(environment: Environment) :
    StoreCommand(
        "status",
        "States what is in force and where, and how each rollout stands and why.",
        environment,
    ) {
    private val operators by
        option("--operator", metavar = "IP:PORT", help = "also asks this instance; repeatable")
            .convert { Address.parse(it) ?: fail("$it is not ip:port") }
            .multiple()

    override suspend fun report(): Report {
        val stored =
            StoredTree(store)
                .read()
                .fold(
                    {
                        return Report.fault(it.message, it.exit)
                    },
                    { it },
                )
        val values =
            store
                .list(STATUS_PREFIX)
                .fold(
                    {
                        return Report.fault(it.message, ExitCode.UNREACHABLE)
                    },
                    { it },
                )
                .associate { it.key.removePrefix(STATUS_PREFIX) to it.value }
        val statements = StatusStatements(stored, environment.nowMillis())
        val lines =
            statements.teams() +
                statements.domains(values.filterKeys { it.startsWith(DOMAINS) }.values) +
                statements.others(values.filterKeys { !it.startsWith(DOMAINS) }) +
                operators.flatMap { instance(it) }
        val json =
            mapOf(
                "teams" to stored.mapValues { it.value.settings.copy(text = "") },
                "status" to
                    values.mapValues { Json.parseOrNull(it.value.toByteArray()) ?: it.value },
                "statements" to lines.map { it.text },
            )
        val behind = lines.any { it.mood == Mood.BAD || it.mood == Mood.CAUTION }
        return Report(lines, json, if (behind) ExitCode.DIFFERENT else ExitCode.DONE)
    }

    private suspend fun instance(address: Address): List<Line> {
        val answer =
            environment.operatorGet(address, "/status")
                ?: return listOf(Line("instance at $address: does not answer", Mood.BAD))
        val ready = environment.operatorGet(address, "/readyz")?.status == STATUS_OK
        val body = Json.parseOrNull(answer.body.toByteArray())
        val heading =
            if (ready) Line("instance at $address: ready", Mood.GOOD)
            else Line("instance at $address: not ready", Mood.BAD)
        return listOf(heading) +
            body?.let { OperatorText.lines(it, "  ") }.orEmpty().map { Line(it) }
    }

    private companion object {
        const val STATUS_PREFIX = "status/"
        const val DOMAINS = "settings/"
        const val STATUS_OK = 200
    }
}
