package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPhase
import java.util.Locale

/** Results of all seeds of one kind of version under one test. */
class RunSummary(private val results: List<RunResult>) {
    private val shown = results.filter { it.firstSpoiledSeconds != null }

    /** Runs that reached done by the deadline. */
    val done: Int
        get() = results.count { it.phase == RolloutPhase.DONE }

    /** Runs in which the version was stopped because of what it did. */
    val rejected: Int
        get() = results.count { it.rejected }

    /** Runs undone at the deadline. */
    val late: Int
        get() = results.size - done - rejected

    /** Runs in which the fault spoiled a request and the version was kept. */
    val missed: Int
        get() = shown.count { it.phase == RolloutPhase.DONE }

    /** One row of the table for a bad version. */
    fun badRow(): List<String> {
        val share = shown.map { 100.0 * it.spoiled / it.requests }
        val exposed = shown.filter { it.rejected }.mapNotNull { it.exposedSeconds?.toDouble() }
        return listOf(
            results.size.toString(),
            shown.size.toString(),
            shown.count { it.rejected }.toString(),
            missed.toString(),
            late.toString(),
            median(shown.map { it.spoiled.toDouble() }, "%.0f"),
            largest(shown.map { it.spoiled.toDouble() }, "%.0f"),
            median(share, "%.3f"),
            median(exposed, "%.0f"),
            largest(exposed, "%.0f"),
        )
    }

    /** One row of the table for a good version. */
    fun goodRow(): List<String> {
        val minutes = results.filter { it.phase == RolloutPhase.DONE }.map { it.endSeconds / 60.0 }
        return listOf(
            results.size.toString(),
            done.toString(),
            rejected.toString(),
            late.toString(),
            median(minutes, "%.0f"),
            largest(minutes, "%.0f"),
        )
    }

    companion object {
        val badColumns =
            listOf(
                "runs",
                "fault shown",
                "rolled back",
                "kept",
                "undone at deadline",
                "spoiled median",
                "spoiled max",
                "spoiled % median",
                "to none s median",
                "to none s max",
            )
        val goodColumns =
            listOf("runs", "done in time", "false alarms", "undone at deadline", "min", "min max")

        private fun median(values: List<Double>, format: String): String =
            if (values.isEmpty()) "-" else print(values.sorted()[values.size / 2], format)

        private fun largest(values: List<Double>, format: String): String =
            values.maxOrNull()?.let { print(it, format) } ?: "-"

        private fun print(value: Double, format: String) = format.format(Locale.ROOT, value)
    }
}
