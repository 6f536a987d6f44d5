package io.lavenderhinge.core.rollout

import java.time.Instant
import java.util.Locale

/** Formats the status statements of rollouts for operators. */
object Statements {
    /** State of a rollout; [progress] is null on an instance that does not control it. */
    fun of(record: RolloutRecord, progress: ControllerProgress?): String =
        "${heading(record.plan)}: ${state(record, progress)}"

    /** Statement for a rollout without a record. */
    fun waiting(plan: RolloutPlan, reason: String): String = "${heading(plan)}: planned, $reason"

    /** Statement for a stop that the record does not show yet. */
    fun stopped(plan: RolloutPlan, flag: StopFlag): String =
        "${heading(plan)}: stopped, no request goes to ${plan.toVersion}; ${flag.evidence}"

    /** Describes a test result with the counts of its routes. */
    fun describe(result: TestResult, byRoute: Map<String, RouteCounts>): String {
        val counts =
            if (result.route == CombinedEvidence.ALL_ROUTES) {
                byRoute.values.fold(RouteCounts(), RouteCounts::plus)
            } else {
                byRoute[result.route] ?: RouteCounts()
            }
        val event = if (result.metric == Metric.ERRORS) "errors" else "slow requests"
        val new = counts.new.eventsOf(result.metric)
        val old = counts.old.eventsOf(result.metric)
        val scope =
            if (result.route == CombinedEvidence.ALL_ROUTES) "all routes"
            else "route ${result.route}"
        return "$scope, $event: new version $new of ${counts.new.requests}, " +
            "old version $old of ${counts.old.requests} in this step; odds ${result.odds}"
    }

    private fun heading(plan: RolloutPlan): String =
        "${plan.name}: ${plan.target.name} ${plan.fromVersion} -> ${plan.toVersion}"

    private fun state(record: RolloutRecord, progress: ControllerProgress?): String =
        when (record.phase) {
            RolloutPhase.PLANNED -> "planned, ${progress?.waitReason ?: "starts soon"}"
            RolloutPhase.WARMING -> "warming, ${progress?.waitReason ?: "loading the new version"}"
            RolloutPhase.MOVING -> movingState(record, progress)
            RolloutPhase.DONE -> "done at ${timestamp(record.stepSinceMillis)}"
            RolloutPhase.UNDONE ->
                "undone at ${timestamp(record.stepSinceMillis)}, ${rollbackReason(record.evidence)}"
        }

    private fun movingState(record: RolloutRecord, progress: ControllerProgress?): String {
        val share = "moving, share ${percent(record.shareFraction)}"
        val since = "since ${timestamp(record.stepSinceMillis)}"
        if (progress == null) return "$share $since"
        val evidence =
            progress.strongestEvidence?.let { "strongest evidence: $it" } ?: "no traffic yet"
        return "$share $since; $evidence; ${progress.waitReason}; " +
            "deadline ${timestamp(record.plan.deadlineMillis)}"
    }

    private fun rollbackReason(evidence: Evidence?): String =
        when (evidence?.reason) {
            null -> "reason not recorded"
            UndoReason.TEST -> "the new version was worse: ${evidence.detail}"
            UndoReason.STOP_FLAG -> "stopped: ${evidence.detail}"
            UndoReason.DEADLINE -> "the deadline passed unproved: ${evidence.detail}"
            UndoReason.WITHDRAWN -> "withdrawn: ${evidence.detail}"
        }

    internal fun percent(fraction: Double): String =
        "%.4g".format(Locale.ROOT, fraction * PERCENT).trimEnd('0').trimEnd('.') + "%"

    internal fun timestamp(millis: Long): String =
        Instant.ofEpochMilli(millis - millis % MILLIS_PER_SECOND).toString()

    private const val PERCENT = 100
    private const val MILLIS_PER_SECOND = 1000
}

/** Reason why the controller waits, and the strongest evidence so far. */
data class ControllerProgress(val waitReason: String, val strongestEvidence: String?)
