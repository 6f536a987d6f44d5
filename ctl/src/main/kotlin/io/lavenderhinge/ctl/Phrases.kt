package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.KeyChange
import io.lavenderhinge.core.settings.SettingsDiff
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.core.settings.StoredSettings
import java.time.Instant
import java.time.temporal.ChronoUnit

/** Wordings that several commands share. */
internal object Phrases {
    fun time(epochMillis: Long): String =
        Instant.ofEpochMilli(epochMillis).truncatedTo(ChronoUnit.SECONDS).toString()

    fun applied(settings: StoredSettings): String =
        "revision ${settings.revision} by ${settings.author} at ${time(settings.appliedAtMillis)}"

    fun changes(before: String, after: String): List<String> =
        SettingsDiff.between(before, after).map(::change).ifEmpty { listOf("only comments differ") }

    fun change(change: KeyChange): String {
        val place = "[${change.section}] ${change.key}"
        return when {
            change.before == null -> "$place = ${change.after} (added)"
            change.after == null -> "$place = ${change.before} (removed)"
            else -> "$place: ${change.before} -> ${change.after}"
        }
    }

    /** JSON form of a fault. */
    fun json(fault: SettingsFault): Map<String, Any?> =
        mapOf(
            "kind" to fault.kind,
            "file" to fault.file,
            "section" to fault.section,
            "key" to fault.key,
            "value" to fault.value,
            "reason" to fault.reason,
            "remedy" to fault.remedy,
        )

    /** A report of [faults]. */
    fun invalid(faults: List<SettingsFault>): Report =
        Report(
            faults.map { Line(it.message, Mood.BAD) } +
                Line("${faults.size} faults; nothing was written"),
            mapOf("valid" to false, "faults" to faults.map(::json)),
            ExitCode.INVALID,
        )
}
