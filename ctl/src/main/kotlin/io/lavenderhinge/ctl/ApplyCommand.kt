package io.lavenderhinge.ctl

import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.core.settings.SettingsFault

/** `apply DIR`: stores what differs, one revision for each changed team. */
class ApplyCommand(environment: Environment) :
    StoreCommand(
        "apply",
        "Stores the teams in DIR that differ. Of two operators at once one gets a conflict.",
        environment,
    ) {
    private val directory by directoryArgument()
    private val author by option("--author", help = "name kept with the revision; default: user")
    private val removed by
        option("--remove", metavar = "TEAM", help = "removes a team that has no file").multiple()

    override suspend fun report(): Report {
        val settings = SettingsDirectory(directory)
        val files = settings.files()
        val stored =
            StoredTree(store)
                .read()
                .fold(
                    {
                        return Report.fault(it.message, it.exit)
                    },
                    { it },
                )
        val faults = faults(files, stored)
        if (faults.isNotEmpty()) return Phrases.invalid(faults)
        val texts = files.map { it.team to it.text } + removedTexts(files, stored)
        val base = settings.baseRevisions()
        val applier = Applier(store, author ?: environment.userName(), environment::nowMillis)
        val outcomes =
            texts.map { (team, text) -> applier.apply(team, text, stored[team], base[team]) }
        settings.saveBase(revisions(outcomes, stored))
        return ApplyReport.of(outcomes)
    }

    // The files are checked together with the stored teams that have no file here.
    private fun faults(
        files: List<TeamFile>,
        stored: Map<String, StoredTeam>,
    ): List<SettingsFault> {
        val named = files.map { it.team }.toSet() + removed
        val others =
            stored.values
                .filter { it.team !in named }
                .map { TeamFile(it.team, "config/${it.team}", it.settings.text) }
        val otherFaults = SettingsDirectory.faults(others).toSet()
        return SettingsDirectory.faults(others + files) - otherFaults
    }

    private fun removedTexts(files: List<TeamFile>, stored: Map<String, StoredTeam>) =
        removed.filter { team -> team in stored && files.none { it.team == team } }.map { it to "" }

    private fun revisions(outcomes: List<ApplyOutcome>, stored: Map<String, StoredTeam>) =
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
