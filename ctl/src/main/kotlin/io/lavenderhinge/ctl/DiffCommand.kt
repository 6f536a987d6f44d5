package io.lavenderhinge.ctl

import arrow.core.getOrElse
import io.lavenderhinge.core.settings.SettingsDiff

/** `diff DIR`: shows what `apply DIR` would change. */
class DiffCommand(environment: Environment) :
    StoreCommand("diff", "Shows what `apply DIR` would change. Writes nothing.", environment) {
    private val directory by directoryArgument()

    override suspend fun execute(): Report {
        val files = SettingsDirectory(directory).readFiles()
        val stored =
            StoredSettingsReader(store).readTeams().getOrElse {
                return Report.failure(it.message, it.exitCode)
            }
        val changed = files.filter { stored[it.team]?.settings?.text.orEmpty() != it.text }
        val lines = changed.flatMap { lines(it, stored[it.team]) } + linesWithoutFile(files, stored)
        val json =
            changed.associate {
                it.team to SettingsDiff.between(stored[it.team]?.settings?.text.orEmpty(), it.text)
            }
        val summary = Line("${changed.size} of ${files.size} teams would change")
        val exitCode = if (changed.isEmpty()) ExitCode.DONE else ExitCode.DIFFERENT
        return Report(lines + summary, mapOf("changes" to json), exitCode)
    }

    private fun lines(file: TeamFile, stored: StoredTeam?): List<Line> {
        val heading =
            stored?.let { "differs from ${ReportFormat.describeRevision(it.settings)}" } ?: "is new"
        val changes = ReportFormat.describeChanges(stored?.settings?.text.orEmpty(), file.text)
        return listOf(Line("team ${file.team} $heading", Severity.WARNING)) +
            changes.map { Line("  $it") }
    }

    private fun linesWithoutFile(
        files: List<TeamFile>,
        stored: Map<String, StoredTeam>,
    ): List<Line> {
        val teamsWithFile = files.map { it.team }.toSet()
        return stored.values
            .filter { it.team !in teamsWithFile && it.settings.text.isNotBlank() }
            .map {
                Line("team ${it.team} has no file in DIR and is kept; apply --remove removes it")
            }
    }
}
