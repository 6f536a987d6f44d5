package io.lavenderhinge.experiments.run

import io.lavenderhinge.core.Tier
import io.lavenderhinge.experiments.cluster.Invariant
import io.lavenderhinge.experiments.cluster.Outcome
import io.lavenderhinge.experiments.cluster.RequestRecord
import io.lavenderhinge.experiments.cluster.ViolationLog
import io.lavenderhinge.experiments.scheduler.ShedReason

/** Groups of requests in the results: model requests by tier, and all plain-service requests. */
enum class RequestGroup(val label: String) {
    INTERACTIVE("interactive"),
    STANDARD("standard"),
    BATCH("batch"),
    PLAIN("plain");

    companion object {
        fun of(record: RequestRecord): RequestGroup =
            if (record.request.promptTokens == 0) PLAIN
            else
                when (record.request.tier) {
                    Tier.INTERACTIVE -> INTERACTIVE
                    Tier.STANDARD -> STANDARD
                    Tier.BATCH -> BATCH
                }
    }
}

/** Counts and sorted latency samples of one group of requests. */
data class GroupResult(
    val offeredCount: Int,
    val goodCount: Int,
    val outcomes: Map<Outcome, Int>,
    val shedByReason: Map<ShedReason, Int>,
    val firstTokenMillis: List<Double>,
    val betweenTokensMillis: List<Double>,
) {
    val goodFraction: Double
        get() = if (offeredCount == 0) 0.0 else goodCount.toDouble() / offeredCount

    operator fun plus(other: GroupResult) =
        GroupResult(
            offeredCount + other.offeredCount,
            goodCount + other.goodCount,
            addCounts(outcomes, other.outcomes),
            addCounts(shedByReason, other.shedByReason),
            (firstTokenMillis + other.firstTokenMillis).sorted(),
            (betweenTokensMillis + other.betweenTokensMillis).sorted(),
        )
}

/**
 * Prefilled tokens. [wastedTokens] were prefilled for requests that did not complete;
 * [duplicateTokens] for completed requests although another replica had them cached. The two are
 * disjoint.
 */
data class PrefillUsage(val totalTokens: Long, val wastedTokens: Long, val duplicateTokens: Long) {
    /** Fraction of prefilled tokens that were either wasted or duplicated. */
    val wastedFraction: Double
        get() =
            if (totalTokens == 0L) 0.0
            else (wastedTokens + duplicateTokens).toDouble() / totalTokens

    operator fun plus(other: PrefillUsage) =
        PrefillUsage(
            totalTokens + other.totalTokens,
            wastedTokens + other.wastedTokens,
            duplicateTokens + other.duplicateTokens,
        )
}

/** Total control traffic of all instances. */
data class ControlTraffic(val messagesPerSecond: Double, val bytesPerSecond: Double)

/** Measurements of a single run, or the combined measurements of runs with different seeds. */
data class RunResult(
    val measuredSeconds: Double,
    val groups: Map<RequestGroup, GroupResult>,
    val prefill: PrefillUsage,
    val controlTraffic: ControlTraffic,
    val violations: Map<Invariant, Int>,
    val violationTexts: List<String>,
) {
    operator fun plus(other: RunResult): RunResult {
        val seconds = measuredSeconds + other.measuredSeconds
        fun mean(own: Double, others: Double) =
            (own * measuredSeconds + others * other.measuredSeconds) / seconds
        return RunResult(
            seconds,
            RequestGroup.entries.associateWith { groups.getValue(it) + other.groups.getValue(it) },
            prefill + other.prefill,
            ControlTraffic(
                mean(controlTraffic.messagesPerSecond, other.controlTraffic.messagesPerSecond),
                mean(controlTraffic.bytesPerSecond, other.controlTraffic.bytesPerSecond),
            ),
            addCounts(violations, other.violations),
            violationTexts + other.violationTexts,
        )
    }

    companion object {
        internal fun of(
            records: List<RequestRecord>,
            measuredSeconds: Double,
            controlTraffic: ControlTraffic,
            violations: ViolationLog,
        ) =
            RunResult(
                measuredSeconds,
                RequestGroup.entries.associateWith { group ->
                    groupResult(records.filter { RequestGroup.of(it) == group })
                },
                prefill(records),
                controlTraffic,
                Invariant.entries.associateWith(violations::count).filterValues { it > 0 },
                violations.descriptions,
            )
    }
}

private fun groupResult(records: List<RequestRecord>) =
    GroupResult(
        offeredCount = records.size,
        goodCount = records.count { it.meetsTargets },
        outcomes = records.mapNotNull { it.outcome }.groupingBy { it }.eachCount(),
        shedByReason = records.mapNotNull { it.shedReason }.groupingBy { it }.eachCount(),
        firstTokenMillis = records.mapNotNull(::firstTokenOrExpiryMillis).sorted(),
        betweenTokensMillis =
            records
                .filter { it.outcome == Outcome.COMPLETED && it.job.outputTokens > 1 }
                .map { it.betweenTokensMillis }
                .sorted(),
    )

// A request that expired before its first token counts with its time of expiry; omitting it would
// understate the latency of an overloaded scheduler. Shed and failed requests that received no
// token are excluded, because the client got an explicit error.
private fun firstTokenOrExpiryMillis(record: RequestRecord): Double? =
    when {
        record.request.promptTokens == 0 -> null
        record.outcome == Outcome.EXPIRED -> record.firstTokenMillis ?: record.durationMillis
        else -> record.firstTokenMillis
    }

private fun prefill(records: List<RequestRecord>): PrefillUsage {
    val (completed, others) = records.partition { it.outcome == Outcome.COMPLETED }
    return PrefillUsage(
        totalTokens = records.sumOf { it.job.prefilledTokens.toLong() },
        wastedTokens = others.sumOf { it.job.prefilledTokens.toLong() },
        duplicateTokens =
            completed.sumOf { minOf(it.duplicatePrefillTokens, it.job.prefilledTokens).toLong() },
    )
}

private fun <K> addCounts(own: Map<K, Int>, others: Map<K, Int>): Map<K, Int> =
    (own.keys + others.keys).associateWith { (own[it] ?: 0) + (others[it] ?: 0) }

/** Returns the [fraction] quantile of the sorted [samples], or null if there are none. */
internal fun percentile(samples: List<Double>, fraction: Double): Double? =
    samples.getOrNull(((samples.size - 1) * fraction).toInt())
