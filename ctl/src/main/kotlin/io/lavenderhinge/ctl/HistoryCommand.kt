package io.lavenderhinge.ctl

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import io.lavenderhinge.core.settings.StoredSettings

/** `history TEAM`: shows who applied which change, newest first. */
class HistoryCommand(environment: Environment) :
    StoreCommand(
        "history",
        "Shows who applied which change to a team, newest first.",
        environment,
    ) {
    private val team by argument("TEAM")
    private val revision by
        option("--revision", metavar = "N", help = "prints the text of this revision").long()

    override suspend fun execute(): Report {
        val entries =
            StoredSettingsReader(store).readHistory(team).getOrElse {
                return Report.failure(it.message, it.exitCode)
            }
        val requestedRevision =
            revision ?: return Report(lines(entries), mapOf("entries" to entries))
        val entry =
            entries.firstOrNull { it.revision == requestedRevision }
                ?: return Report.failure(
                    "the history of $team does not contain revision $requestedRevision; " +
                        "it contains ${entries.lastOrNull()?.revision} to " +
                        "${entries.firstOrNull()?.revision}",
                    ExitCode.USAGE,
                )
        return Report(listOf(Line(entry.text.trimEnd())), mapOf("entry" to entry))
    }

    private fun lines(entries: List<StoredSettings>): List<Line> =
        entries
            .flatMapIndexed { index, entry ->
                val before = entries.getOrNull(index + 1)
                val changes =
                    // The oldest entry has no predecessor to compare with once older ones are
                    // dropped.
                    if (before == null && entry.revision > 1) emptyList()
                    else ReportFormat.describeChanges(before?.text.orEmpty(), entry.text)
                listOf(Line(ReportFormat.describeRevision(entry))) + changes.map { Line("  $it") }
            }
            .ifEmpty { listOf(Line("no revision was applied to $team")) }
}
