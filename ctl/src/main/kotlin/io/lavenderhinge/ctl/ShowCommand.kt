package io.lavenderhinge.ctl

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlin.io.path.createDirectories

/** `show`: prints the stored settings or saves them to files. */
class ShowCommand(environment: Environment) :
    StoreCommand(
        "show",
        "Shows the stored settings, or saves them to files for editing.",
        environment,
    ) {
    private val team by argument("TEAM", help = "only this team").optional()
    private val save by
        option("--save", metavar = "DIR", help = "writes TEAM.ini files to DIR")
            .path(canBeFile = false)

    override suspend fun execute(): Report {
        val stored =
            StoredSettingsReader(store).readTeams().getOrElse {
                return Report.failure(it.message, it.exitCode)
            }
        val teams = stored.values.filter { team == null || it.team == team }
        if (team != null && teams.isEmpty()) {
            val known = stored.keys.joinToString().ifEmpty { "none" }
            return Report.failure("team $team does not exist; stored teams: $known", ExitCode.USAGE)
        }
        val saved = save?.let { save(SettingsDirectory(it.createDirectories()), teams) }
        val lines = saved ?: teams.flatMap(::lines)
        return Report(
            lines.ifEmpty { listOf(Line("no teams are stored")) },
            mapOf("teams" to teams.associate { it.team to it.settings }),
        )
    }

    private fun save(directory: SettingsDirectory, teams: List<StoredTeam>): List<Line> {
        val present = teams.filter { it.settings.text.isNotBlank() }
        present.forEach { directory.writeFile(it.team, it.settings.text) }
        directory.saveBaseRevisions(present.associate { it.team to it.settings.revision })
        return present.map {
            Line("saved ${it.team}.ini: ${ReportFormat.describeRevision(it.settings)}")
        }
    }

    private fun lines(team: StoredTeam): List<Line> {
        val removed = if (team.settings.text.isBlank()) " (removed)" else ""
        return listOf(
            Line("# team ${team.team}: ${ReportFormat.describeRevision(team.settings)}$removed")
        ) + team.settings.text.trimEnd().lines().map { Line(it) }
    }
}
