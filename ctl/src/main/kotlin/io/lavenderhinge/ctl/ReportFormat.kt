package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.KeyChange
import io.lavenderhinge.core.settings.SettingsDiff
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.core.settings.StoredSettings
import java.time.Instant
import java.time.temporal.ChronoUnit

/** Text and JSON formatting that several commands share. */
internal object ReportFormat {
    fun formatTime(epochMillis: Long): String =
        Instant.ofEpochMilli(epochMillis).truncatedTo(ChronoUnit.SECONDS).toString()

    fun describeRevision(settings: StoredSettings): String =
        "revision ${settings.revision} by ${settings.author} at " +
            formatTime(settings.appliedAtMillis)

    fun describeChanges(before: String, after: String): List<String> =
        SettingsDiff.between(before, after).map(::describeChange).ifEmpty {
            listOf("only comments differ")
        }

    private fun describeChange(change: KeyChange): String {
        val place = "[${change.section}] ${change.key}"
        return when {
            change.before == null -> "$place = ${change.after} (added)"
            change.after == null -> "$place = ${change.before} (removed)"
            else -> "$place: ${change.before} -> ${change.after}"
        }
    }

    private fun faultToJson(fault: SettingsFault): Map<String, Any?> =
        mapOf(
            "kind" to fault.kind,
            "file" to fault.file,
            "section" to fault.section,
            "key" to fault.key,
            "value" to fault.value,
            "reason" to fault.reason,
            "remedy" to fault.remedy,
        )

    /** Report of a command that wrote nothing because of [faults]. */
    fun invalidSettings(faults: List<SettingsFault>): Report =
        Report(
            faults.map { Line(it.message, Severity.ERROR) } +
                Line("${faults.size} faults; nothing was written"),
            mapOf("valid" to false, "faults" to faults.map(::faultToJson)),
            ExitCode.INVALID,
        )
}
