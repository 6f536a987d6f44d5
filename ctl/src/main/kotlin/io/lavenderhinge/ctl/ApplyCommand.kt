package io.lavenderhinge.ctl

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.core.settings.SettingsFault

/** `apply DIR`: stores a new revision of each team whose settings differ. */
class ApplyCommand(environment: Environment) :
    StoreCommand(
        "apply",
        "Stores the teams in DIR that differ. If two operators apply at once, one gets a conflict.",
        environment,
    ) {
    private val directory by directoryArgument()
    private val author by
        option("--author", help = "author recorded with the revision; default: current user")
    private val removedTeams by
        option("--remove", metavar = "TEAM", help = "removes a team that has no file").multiple()

    override suspend fun execute(): Report {
        val settingsDirectory = SettingsDirectory(directory)
        val files = settingsDirectory.readFiles()
        val stored =
            StoredSettingsReader(store).readTeams().getOrElse {
                return Report.failure(it.message, it.exitCode)
            }
        val faults = newFaults(files, stored)
        if (faults.isNotEmpty()) return ReportFormat.invalidSettings(faults)
        val texts = files.map { it.team to it.text } + removedTexts(files, stored)
        val base = settingsDirectory.baseRevisions()
        val applier = Applier(store, author ?: environment.userName(), environment::nowMillis)
        val outcomes =
            texts.map { (team, text) -> applier.apply(team, text, stored[team], base[team]) }
        settingsDirectory.saveBaseRevisions(revisionsAfter(outcomes, stored))
        return ApplyReport.of(outcomes)
    }

    // Validates the files together with the stored teams that have no file in DIR. Faults that are
    // already in those stored teams are left out.
    private fun newFaults(
        files: List<TeamFile>,
        stored: Map<String, StoredTeam>,
    ): List<SettingsFault> {
        val includedTeams = files.map { it.team }.toSet() + removedTeams
        val others =
            stored.values
                .filter { it.team !in includedTeams }
                .map { TeamFile(it.team, "config/${it.team}", it.settings.text) }
        val otherFaults = SettingsDirectory.validate(others).toSet()
        return SettingsDirectory.validate(others + files) - otherFaults
    }

    private fun removedTexts(files: List<TeamFile>, stored: Map<String, StoredTeam>) =
        removedTeams
            .filter { team -> team in stored && files.none { it.team == team } }
            .map { it to "" }

    private fun revisionsAfter(outcomes: List<ApplyOutcome>, stored: Map<String, StoredTeam>) =
        outcomes
            .mapNotNull { outcome ->
                when (outcome) {
                    is ApplyOutcome.Applied -> outcome.team to outcome.settings.revision
                    is ApplyOutcome.Unchanged ->
                        stored[outcome.team]?.let { outcome.team to it.settings.revision }
                    else -> null
                }
            }
            .toMap()
}
