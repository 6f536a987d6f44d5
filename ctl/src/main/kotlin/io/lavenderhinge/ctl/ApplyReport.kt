package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.StoredSettings

/** Formats the outcomes of `apply`. */
internal object ApplyReport {
    // The most severe outcome sets the exit code; an unknown one needs the most attention.
    private val exitCodesBySeverity =
        listOf(ExitCode.UNKNOWN, ExitCode.CONFLICT, ExitCode.UNREACHABLE, ExitCode.DONE)

    fun of(outcomes: List<ApplyOutcome>): Report {
        val exitCodes = outcomes.map(::exitCode) + ExitCode.DONE
        return Report(
            outcomes.flatMap(::lines),
            mapOf("teams" to outcomes.map(::outcomeToJson)),
            exitCodesBySeverity.first { it in exitCodes },
        )
    }

    private fun exitCode(outcome: ApplyOutcome): ExitCode =
        when (outcome) {
            is ApplyOutcome.Applied,
            is ApplyOutcome.Outdated,
            is ApplyOutcome.Unchanged -> ExitCode.DONE
            is ApplyOutcome.Conflict -> ExitCode.CONFLICT
            is ApplyOutcome.Unreachable -> ExitCode.UNREACHABLE
            is ApplyOutcome.Unknown -> ExitCode.UNKNOWN
        }

    private fun lines(outcome: ApplyOutcome): List<Line> {
        val team = "team ${outcome.team}"
        return when (outcome) {
            is ApplyOutcome.Applied ->
                listOfNotNull(
                    Line(
                        "$team: applied ${ReportFormat.describeRevision(outcome.settings)}",
                        Severity.SUCCESS,
                    ),
                    Line("  the history was not written; the next apply adds it", Severity.WARNING)
                        .takeIf { !outcome.historyWritten },
                )
            is ApplyOutcome.Unchanged -> listOf(Line("$team: unchanged"))
            is ApplyOutcome.Outdated ->
                listOf(
                    Line(
                        "$team: this file is an old copy without changes; kept " +
                            "${ReportFormat.describeRevision(outcome.stored)}",
                        Severity.WARNING,
                    )
                )
            is ApplyOutcome.Conflict -> conflictLines(outcome)
            is ApplyOutcome.Unreachable ->
                listOf(
                    Line("$team: not applied: ${outcome.message}; run apply again", Severity.ERROR)
                )
            is ApplyOutcome.Unknown ->
                listOf(
                    Line(
                        "$team: may or may not be applied: ${outcome.message}; run diff, and " +
                            "apply again if it shows differences",
                        Severity.ERROR,
                    )
                )
        }
    }

    private fun conflictLines(outcome: ApplyOutcome.Conflict): List<Line> {
        val theirs = outcome.theirs
        val heading = "team ${outcome.team}: conflict, not applied: ${describeTheirs(theirs)}"
        val changes =
            if (theirs == null) emptyList()
            else
                ReportFormat.describeChanges(outcome.base?.text.orEmpty(), theirs.text).map {
                    Line("  $it")
                }
        val remedy =
            Line(
                "  to resolve: `show --save OTHER_DIR`, merge your change into that text, then " +
                    "`diff OTHER_DIR` and `apply OTHER_DIR`"
            )
        return listOf(Line(heading, Severity.ERROR)) + changes + remedy
    }

    private fun describeTheirs(theirs: StoredSettings?) =
        theirs?.let { "another operator stored ${ReportFormat.describeRevision(it)}" }
            ?: "the stored settings changed and cannot be read"

    private fun outcomeToJson(outcome: ApplyOutcome): Map<String, Any?> {
        val outcomeName = outcome::class.simpleName.orEmpty().lowercase()
        val stored =
            when (outcome) {
                is ApplyOutcome.Applied -> outcome.settings
                is ApplyOutcome.Outdated -> outcome.stored
                is ApplyOutcome.Conflict -> outcome.theirs
                else -> null
            }
        return mapOf(
            "team" to outcome.team,
            "outcome" to outcomeName,
            "revision" to stored?.revision,
            "author" to stored?.author,
            "appliedAtMillis" to stored?.appliedAtMillis,
        )
    }
}
