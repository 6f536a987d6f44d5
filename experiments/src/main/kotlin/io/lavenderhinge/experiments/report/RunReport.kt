package io.lavenderhinge.experiments.report

import io.lavenderhinge.experiments.cluster.Outcome
import io.lavenderhinge.experiments.run.Group
import io.lavenderhinge.experiments.run.GroupResult
import io.lavenderhinge.experiments.run.RunResult
import io.lavenderhinge.experiments.run.Scenario
import io.lavenderhinge.experiments.run.percentile

/** Formats the merged result of one scenario as text or JSON. */
internal class RunReport(private val scenario: Scenario, private val result: RunResult) {
    fun text(): String {
        val rows = Group.entries.map { row(it, result.groups.getValue(it)) }
        return "${heading()}\n\n${textTable(HEADER, rows)}\n\n${footer()}"
    }

    fun json(): Map<String, Any?> =
        mapOf(
            "deployment" to scenario.deployment.name,
            "scheduler" to scenario.scheduler.name,
            "loadFactor" to scenario.loadFactor,
            "fault" to scenario.fault.optionName,
            "capacityPerSecond" to scenario.capacityPerSecond,
            "measuredSeconds" to result.measuredSeconds,
            "groups" to Group.entries.associate { it.label to groupJson(it) },
            "prefillTokens" to result.prefill.totalTokens,
            "wastedPrefillTokens" to result.prefill.wastedTokens,
            "duplicatePrefillTokens" to result.prefill.duplicateTokens,
            "wastedPrefillFraction" to result.prefill.wastedFraction,
            "controlMessagesPerSecond" to result.control.messagesPerSecond,
            "controlBytesPerSecond" to result.control.bytesPerSecond,
            "violations" to result.violations,
            "violationTexts" to result.violationTexts,
        )

    /** Row of the `compare` table, with the columns of [COMPARE_HEADER]. */
    fun compareRow(): List<String> {
        val interactive = result.groups.getValue(Group.INTERACTIVE)
        return listOf(
            scenario.deployment.name,
            scenario.fault.optionName,
            scenario.loadFactor.toString(),
            scenario.scheduler.name,
        ) +
            Group.entries.map { percent(result.groups.getValue(it).goodFraction) } +
            listOf(
                decimal(result.groups.values.sumOf { it.good } / result.measuredSeconds),
                percent(result.prefill.wastedFraction),
                whole(percentile(interactive.firstTokenMillis, 0.95)),
                decimal(percentile(interactive.betweenTokensMillis, 0.95)),
                whole(result.control.messagesPerSecond),
                violations(),
            )
    }

    private fun heading(): String =
        "${scenario.deployment.name}, ${scenario.scheduler.name}, load ${scenario.loadFactor} x " +
            "${decimal(scenario.capacityPerSecond)} requests/s, fault " +
            "${scenario.fault.optionName}, measured ${whole(result.measuredSeconds)} s"

    private fun footer(): String {
        val prefill = result.prefill
        val total = maxOf(1, prefill.totalTokens).toDouble()
        return "wasted prefill ${percent(prefill.wastedFraction)} " +
            "(without answer ${percent(prefill.wastedTokens / total)}, " +
            "held elsewhere ${percent(prefill.duplicateTokens / total)}), " +
            "control ${whole(result.control.messagesPerSecond)} messages/s " +
            "${whole(result.control.bytesPerSecond)} bytes/s, violations ${violations()}"
    }

    private fun violations(): String =
        result.violations.entries.joinToString(" ") { "${it.key}=${it.value}" }.ifEmpty { "none" }

    private fun row(group: Group, result: GroupResult): List<String> =
        listOf(
            group.label,
            decimal(result.offered / this.result.measuredSeconds),
            decimal(result.good / this.result.measuredSeconds),
            percent(result.goodFraction),
            shed(result),
            share(result, Outcome.EXPIRED),
            share(result, Outcome.FAILED),
            share(result, Outcome.INSTANCE_LOST),
            whole(percentile(result.firstTokenMillis, 0.50)),
            whole(percentile(result.firstTokenMillis, 0.95)),
            whole(percentile(result.firstTokenMillis, 0.99)),
            decimal(percentile(result.betweenTokensMillis, 0.95)),
        )

    private fun shed(result: GroupResult): String =
        result.shedByReason.entries
            .sortedByDescending { it.value }
            .joinToString(" ") { (reason, count) ->
                "$reason ${percent(count.toDouble() / result.offered)}"
            }
            .ifEmpty { "-" }

    private fun share(result: GroupResult, outcome: Outcome): String =
        percent((result.outcomes[outcome] ?: 0).toDouble() / maxOf(1, result.offered))

    private fun groupJson(group: Group): Map<String, Any?> {
        val groupResult = result.groups.getValue(group)
        return mapOf(
            "offered" to groupResult.offered,
            "good" to groupResult.good,
            "goodFraction" to groupResult.goodFraction,
            "goodPerSecond" to groupResult.good / result.measuredSeconds,
            "outcomes" to groupResult.outcomes,
            "shedByReason" to groupResult.shedByReason,
            "firstTokenMillisP50" to percentile(groupResult.firstTokenMillis, 0.50),
            "firstTokenMillisP95" to percentile(groupResult.firstTokenMillis, 0.95),
            "firstTokenMillisP99" to percentile(groupResult.firstTokenMillis, 0.99),
            "betweenTokensMillisP95" to percentile(groupResult.betweenTokensMillis, 0.95),
        )
    }

    companion object {
        private val HEADER =
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
                Group.entries.map { it.label } +
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
