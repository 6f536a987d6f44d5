package io.lavenderhinge.experiments.run

import io.lavenderhinge.core.Tier
import io.lavenderhinge.experiments.cluster.Invariant
import io.lavenderhinge.experiments.cluster.Outcome
import io.lavenderhinge.experiments.cluster.RequestRecord
import io.lavenderhinge.experiments.cluster.ViolationLog
import io.lavenderhinge.experiments.scheduler.ShedReason

/** Rows of the result: model requests by tier, and plain-service calls of all tiers. */
enum class Group(val label: String) {
    INTERACTIVE("interactive"),
    STANDARD("standard"),
    BATCH("batch"),
    PLAIN("plain");

    companion object {
        fun of(record: RequestRecord): Group =
            if (record.request.promptTokens == 0) PLAIN
            else
                when (record.request.tier) {
                    Tier.INTERACTIVE -> INTERACTIVE
                    Tier.STANDARD -> STANDARD
                    Tier.BATCH -> BATCH
                }
    }
}

/** Counts and samples of one group. [firstTokenMillis] and [betweenTokensMillis] are sorted. */
data class GroupResult(
    val offered: Int,
    val good: Int,
    val outcomes: Map<Outcome, Int>,
    val shedByReason: Map<ShedReason, Int>,
    val firstTokenMillis: List<Double>,
    val betweenTokensMillis: List<Double>,
) {
    val goodFraction: Double
        get() = if (offered == 0) 0.0 else good.toDouble() / offered

    operator fun plus(other: GroupResult) =
        GroupResult(
            offered + other.offered,
            good + other.good,
            addCounts(outcomes, other.outcomes),
            addCounts(shedByReason, other.shedByReason),
            (firstTokenMillis + other.firstTokenMillis).sorted(),
            (betweenTokensMillis + other.betweenTokensMillis).sorted(),
        )
}

/** Prefill in tokens; [wastedTokens] and [duplicateTokens] do not overlap. */
data class Prefill(val totalTokens: Long, val wastedTokens: Long, val duplicateTokens: Long) {
    /**
     * Share that was wasted on requests without a complete answer or on prefixes held elsewhere.
     */
    val wastedFraction: Double
        get() =
            if (totalTokens == 0L) 0.0
            else (wastedTokens + duplicateTokens).toDouble() / totalTokens

    operator fun plus(other: Prefill) =
        Prefill(
            totalTokens + other.totalTokens,
            wastedTokens + other.wastedTokens,
            duplicateTokens + other.duplicateTokens,
        )
}

/** Control traffic of all instances together. */
data class Control(val messagesPerSecond: Double, val bytesPerSecond: Double)

/** What a run, or several runs of different seeds together, measured. */
data class RunResult(
    val measuredSeconds: Double,
    val groups: Map<Group, GroupResult>,
    val prefill: Prefill,
    val control: Control,
    val violations: Map<Invariant, Int>,
    val violationTexts: List<String>,
) {
    operator fun plus(other: RunResult): RunResult {
        val seconds = measuredSeconds + other.measuredSeconds
        fun mean(own: Double, others: Double) =
            (own * measuredSeconds + others * other.measuredSeconds) / seconds
        return RunResult(
            seconds,
            Group.entries.associateWith { groups.getValue(it) + other.groups.getValue(it) },
            prefill + other.prefill,
            Control(
                mean(control.messagesPerSecond, other.control.messagesPerSecond),
                mean(control.bytesPerSecond, other.control.bytesPerSecond),
            ),
            addCounts(violations, other.violations),
            violationTexts + other.violationTexts,
        )
    }

    companion object {
        internal fun of(
            records: List<RequestRecord>,
            measuredSeconds: Double,
            control: Control,
            violations: ViolationLog,
        ) =
            RunResult(
                measuredSeconds,
                Group.entries.associateWith { group ->
                    groupResult(records.filter { Group.of(it) == group })
                },
                prefill(records),
                control,
                Invariant.entries.associateWith(violations::count).filterValues { it > 0 },
                violations.descriptions,
            )
    }
}

private fun groupResult(records: List<RequestRecord>) =
    GroupResult(
        offered = records.size,
        good = records.count { it.meetsTargets },
        outcomes = records.mapNotNull { it.outcome }.groupingBy { it }.eachCount(),
        shedByReason = records.mapNotNull { it.shedReason }.groupingBy { it }.eachCount(),
        firstTokenMillis = records.mapNotNull(::firstTokenOrWait).sorted(),
        betweenTokensMillis =
            records
                .filter { it.outcome == Outcome.COMPLETED && it.job.outputTokens > 1 }
                .map { it.betweenTokensMillis }
                .sorted(),
    )

// A request that expired without a first token waited until then; leaving it out would make an
// overloaded scheduler look fast. Shed and failed requests were told and are left out.
private fun firstTokenOrWait(record: RequestRecord): Double? =
    when {
        record.request.promptTokens == 0 -> null
        record.outcome == Outcome.EXPIRED -> record.firstTokenMillis ?: record.durationMillis
        else -> record.firstTokenMillis
    }

private fun prefill(records: List<RequestRecord>): Prefill {
    val (completed, others) = records.partition { it.outcome == Outcome.COMPLETED }
    return Prefill(
        totalTokens = records.sumOf { it.job.prefilledTokens.toLong() },
        wastedTokens = others.sumOf { it.job.prefilledTokens.toLong() },
        duplicateTokens =
            completed.sumOf { minOf(it.duplicatePrefillTokens, it.job.prefilledTokens).toLong() },
    )
}

private fun <K> addCounts(own: Map<K, Int>, others: Map<K, Int>): Map<K, Int> =
    (own.keys + others.keys).associateWith { (own[it] ?: 0) + (others[it] ?: 0) }

/** The value below which [fraction] of the sorted [samples] lie; null without samples. */
internal fun percentile(samples: List<Double>, fraction: Double): Double? =
    samples.getOrNull(((samples.size - 1) * fraction).toInt())
