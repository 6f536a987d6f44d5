package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPhase
import java.util.Locale

/** Aggregates the results of all seeds of one [VersionKind] under one test. */
class RunSummary(private val results: List<RunResult>) {
    private val faultyRuns = results.filter { it.firstAffectedSeconds != null }

    /** Number of runs that completed by the deadline. */
    val done: Int
        get() = results.count { it.phase == RolloutPhase.DONE }

    /** Number of runs in which the version was rolled back because of its errors or latency. */
    val rejected: Int
        get() = results.count { it.rejected }

    /** Number of runs that were rolled back at the deadline. */
    val deadlineRollbacks: Int
        get() = results.size - done - rejected

    /** Number of runs in which the fault affected a request but the version was kept. */
    val missedDetections: Int
        get() = faultyRuns.count { it.phase == RolloutPhase.DONE }

    /** Returns the table row for a bad version. */
    fun badVersionRow(): List<String> {
        val affectedPercent = faultyRuns.map { 100.0 * it.affectedRequests / it.requests }
        val exposed =
            faultyRuns.filter { it.rejected }.mapNotNull { it.exposureSeconds?.toDouble() }
        return listOf(
            results.size.toString(),
            faultyRuns.size.toString(),
            faultyRuns.count { it.rejected }.toString(),
            missedDetections.toString(),
            deadlineRollbacks.toString(),
            formattedMedian(faultyRuns.map { it.affectedRequests.toDouble() }, "%.0f"),
            formattedMax(faultyRuns.map { it.affectedRequests.toDouble() }, "%.0f"),
            formattedMedian(affectedPercent, "%.3f"),
            formattedMedian(exposed, "%.0f"),
            formattedMax(exposed, "%.0f"),
        )
    }

    /** Returns the table row for a good version. */
    fun goodVersionRow(): List<String> {
        val minutes = results.filter { it.phase == RolloutPhase.DONE }.map { it.endSeconds / 60.0 }
        return listOf(
            results.size.toString(),
            done.toString(),
            rejected.toString(),
            deadlineRollbacks.toString(),
            formattedMedian(minutes, "%.0f"),
            formattedMax(minutes, "%.0f"),
        )
    }

    companion object {
        val badVersionColumns =
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
        val goodVersionColumns =
            listOf("runs", "done in time", "false alarms", "undone at deadline", "min", "min max")

        private fun formattedMedian(values: List<Double>, format: String): String =
            if (values.isEmpty()) "-" else formatted(values.sorted()[values.size / 2], format)

        private fun formattedMax(values: List<Double>, format: String): String =
            values.maxOrNull()?.let { formatted(it, format) } ?: "-"

        private fun formatted(value: Double, format: String) = format.format(Locale.ROOT, value)
    }
}
