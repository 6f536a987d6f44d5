package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.SettingsDiff

/** `diff DIR`: what `apply DIR` would change. */
class DiffCommand(environment: Environment) :
    StoreCommand("diff", "Shows what `apply DIR` would change. Writes nothing.", environment) {
    private val directory by directoryArgument()

    override suspend fun report(): Report {
        val files = SettingsDirectory(directory).files()
        val stored =
            StoredTree(store)
                .read()
                .fold(
                    {
                        return Report.fault(it.message, it.exit)
                    },
                    { it },
                )
        val changed = files.filter { stored[it.team]?.settings?.text.orEmpty() != it.text }
        val lines = changed.flatMap { lines(it, stored[it.team]) } + withoutFile(files, stored)
        val json =
            changed.associate {
                it.team to SettingsDiff.between(stored[it.team]?.settings?.text.orEmpty(), it.text)
            }
        val verdict = Line("${changed.size} of ${files.size} teams would change")
        val exit = if (changed.isEmpty()) ExitCode.DONE else ExitCode.DIFFERENT
        return Report(lines + verdict, mapOf("changes" to json), exit)
    }

    private fun lines(file: TeamFile, stored: StoredTeam?): List<Line> {
        val heading = stored?.let { "differs from ${Phrases.applied(it.settings)}" } ?: "is new"
        val changes = Phrases.changes(stored?.settings?.text.orEmpty(), file.text)
        return listOf(Line("team ${file.team} $heading", Mood.CAUTION)) +
            changes.map { Line("  $it") }
    }

    private fun withoutFile(files: List<TeamFile>, stored: Map<String, StoredTeam>): List<Line> {
        val named = files.map { it.team }.toSet()
        return stored.values
            .filter { it.team !in named && it.settings.text.isNotBlank() }
            .map { Line("team ${it.team} has no file here and stays; apply --remove removes it") }
    }
}
