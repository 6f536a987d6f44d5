package io.lavenderhinge.experiments.report

import io.lavenderhinge.experiments.cluster.Outcome
import io.lavenderhinge.experiments.run.GroupResult
import io.lavenderhinge.experiments.run.RequestGroup
import io.lavenderhinge.experiments.run.RunResult
import io.lavenderhinge.experiments.run.Scenario
import io.lavenderhinge.experiments.run.percentile

/** Formats the merged result of one scenario as text or JSON. */
internal class RunReport(private val scenario: Scenario, private val result: RunResult) {
    fun text(): String {
        val rows = RequestGroup.entries.map { groupRow(it, result.groups.getValue(it)) }
        return "${heading()}\n\n${textTable(GROUP_HEADER, rows)}\n\n${footer()}"
    }

    fun json(): Map<String, Any?> =
        mapOf(
            "deployment" to scenario.deployment.name,
            "scheduler" to scenario.scheduler.name,
            "loadFactor" to scenario.loadFactor,
            "fault" to scenario.fault.optionName,
            "capacityPerSecond" to scenario.capacityPerSecond,
            "measuredSeconds" to result.measuredSeconds,
            "groups" to RequestGroup.entries.associate { it.label to groupJson(it) },
            "prefillTokens" to result.prefill.totalTokens,
            "wastedPrefillTokens" to result.prefill.wastedTokens,
            "duplicatePrefillTokens" to result.prefill.duplicateTokens,
            "wastedPrefillFraction" to result.prefill.wastedFraction,
            "controlMessagesPerSecond" to result.controlTraffic.messagesPerSecond,
            "controlBytesPerSecond" to result.controlTraffic.bytesPerSecond,
            "violations" to result.violations,
            "violationTexts" to result.violationTexts,
        )

    /** Row of the `compare` table, with the columns of [COMPARE_HEADER]. */
    fun compareRow(): List<String> {
        val interactive = result.groups.getValue(RequestGroup.INTERACTIVE)
        return listOf(
            scenario.deployment.name,
            scenario.fault.optionName,
            scenario.loadFactor.toString(),
            scenario.scheduler.name,
        ) +
            RequestGroup.entries.map { formatPercent(result.groups.getValue(it).goodFraction) } +
            listOf(
                formatDecimal(result.groups.values.sumOf { it.goodCount } / result.measuredSeconds),
                formatPercent(result.prefill.wastedFraction),
                formatInteger(percentile(interactive.firstTokenMillis, 0.95)),
                formatDecimal(percentile(interactive.betweenTokensMillis, 0.95)),
                formatInteger(result.controlTraffic.messagesPerSecond),
                formatViolations(),
            )
    }

    private fun heading(): String =
        "${scenario.deployment.name}, ${scenario.scheduler.name}, load ${scenario.loadFactor} x " +
            "${formatDecimal(scenario.capacityPerSecond)} requests/s, fault " +
            "${scenario.fault.optionName}, measured ${formatInteger(result.measuredSeconds)} s"

    private fun footer(): String {
        val prefill = result.prefill
        val total = maxOf(1, prefill.totalTokens).toDouble()
        return "wasted prefill ${formatPercent(prefill.wastedFraction)} " +
            "(without answer ${formatPercent(prefill.wastedTokens / total)}, " +
            "held elsewhere ${formatPercent(prefill.duplicateTokens / total)}), " +
            "control ${formatInteger(result.controlTraffic.messagesPerSecond)} messages/s " +
            "${formatInteger(result.controlTraffic.bytesPerSecond)} bytes/s, " +
            "violations ${formatViolations()}"
    }

    private fun formatViolations(): String =
        result.violations.entries.joinToString(" ") { "${it.key}=${it.value}" }.ifEmpty { "none" }

    private fun groupRow(group: RequestGroup, result: GroupResult): List<String> =
        listOf(
            group.label,
            formatDecimal(result.offeredCount / this.result.measuredSeconds),
            formatDecimal(result.goodCount / this.result.measuredSeconds),
            formatPercent(result.goodFraction),
            formatShedReasons(result),
            formatOutcomeFraction(result, Outcome.EXPIRED),
            formatOutcomeFraction(result, Outcome.FAILED),
            formatOutcomeFraction(result, Outcome.INSTANCE_LOST),
            formatInteger(percentile(result.firstTokenMillis, 0.50)),
            formatInteger(percentile(result.firstTokenMillis, 0.95)),
            formatInteger(percentile(result.firstTokenMillis, 0.99)),
            formatDecimal(percentile(result.betweenTokensMillis, 0.95)),
        )

    private fun formatShedReasons(result: GroupResult): String =
        result.shedByReason.entries
            .sortedByDescending { it.value }
            .joinToString(" ") { (reason, count) ->
                "$reason ${formatPercent(count.toDouble() / result.offeredCount)}"
            }
            .ifEmpty { "-" }

    private fun formatOutcomeFraction(result: GroupResult, outcome: Outcome): String =
        formatPercent((result.outcomes[outcome] ?: 0).toDouble() / maxOf(1, result.offeredCount))

    private fun groupJson(group: RequestGroup): Map<String, Any?> {
        val groupResult = result.groups.getValue(group)
        return mapOf(
            "offered" to groupResult.offeredCount,
            "good" to groupResult.goodCount,
            "goodFraction" to groupResult.goodFraction,
            "goodPerSecond" to groupResult.goodCount / result.measuredSeconds,
            "outcomes" to groupResult.outcomes,
            "shedByReason" to groupResult.shedByReason,
            "firstTokenMillisP50" to percentile(groupResult.firstTokenMillis, 0.50),
            "firstTokenMillisP95" to percentile(groupResult.firstTokenMillis, 0.95),
            "firstTokenMillisP99" to percentile(groupResult.firstTokenMillis, 0.99),
            "betweenTokensMillisP95" to percentile(groupResult.betweenTokensMillis, 0.95),
        )
    }

    companion object {
        private val GROUP_HEADER =
            listOf(
                "requests",
                "offered/s",
                "good/s",
                "good",
                "shed",
                "expired",
                "failed",
                "lost",
                "first ms p50",
                "p95",
                "p99",
                "between ms p95",
            )

        val COMPARE_HEADER =
            listOf("deployment", "fault", "load", "scheduler") +
                RequestGroup.entries.map { it.label } +
                listOf(
                    "good/s",
                    "wasted prefill",
                    "first ms p95",
                    "between ms p95",
                    "control/s",
                    "violations",
                )
    }
}
