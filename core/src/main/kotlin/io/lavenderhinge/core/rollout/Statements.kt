package io.lavenderhinge.core.rollout

import java.time.Instant
import java.util.Locale

/** Plain sentences about rollouts for operators. */
object Statements {
    /** The state of a rollout; [progress] is null on an instance that does not move it. */
    fun of(record: RolloutRecord, progress: MoverProgress?): String =
        "${move(record.plan)}: ${state(record, progress)}"

    /** A rollout that has no record yet. */
    fun waiting(plan: RolloutPlan, reason: String): String = "${move(plan)}: planned, $reason"

    /** A stop that the record does not show yet. */
    fun stopped(plan: RolloutPlan, flag: StopFlag): String =
        "${move(plan)}: stopped, no request goes to ${plan.toVersion}; ${flag.evidence}"

    /** One test with the counts of its routes. */
    fun describe(result: TestResult, byRoute: Map<String, RouteCounts>): String {
        val counts =
            if (result.route == EvidencePool.ALL_ROUTES) {
                byRoute.values.fold(RouteCounts(), RouteCounts::plus)
            } else {
                byRoute[result.route] ?: RouteCounts()
            }
        val event = if (result.metric == Metric.ERRORS) "errors" else "slow requests"
        val new = counts.new.eventsOf(result.metric)
        val old = counts.old.eventsOf(result.metric)
        val scope =
            if (result.route == EvidencePool.ALL_ROUTES) "all routes" else "route ${result.route}"
        return "$scope, $event: new version $new of ${counts.new.requests}, " +
            "old version $old of ${counts.old.requests} in this step; odds ${result.odds}"
    }

    private fun move(plan: RolloutPlan): String =
        "${plan.name}: ${plan.target.name} ${plan.fromVersion} -> ${plan.toVersion}"

    private fun state(record: RolloutRecord, progress: MoverProgress?): String =
        when (record.phase) {
            RolloutPhase.PLANNED -> "planned, ${progress?.waitsFor ?: "starts soon"}"
            RolloutPhase.WARMING -> "warming, ${progress?.waitsFor ?: "loading the new version"}"
            RolloutPhase.MOVING -> moving(record, progress)
            RolloutPhase.DONE -> "done at ${time(record.stepSinceMillis)}"
            RolloutPhase.UNDONE ->
                "undone at ${time(record.stepSinceMillis)}, ${why(record.evidence)}"
        }

    private fun moving(record: RolloutRecord, progress: MoverProgress?): String {
        val share = "moving, share ${percent(record.shareFraction)}"
        val since = "since ${time(record.stepSinceMillis)}"
        if (progress == null) return "$share $since"
        val evidence = progress.strongest?.let { "strongest evidence: $it" } ?: "no traffic yet"
        return "$share $since; $evidence; ${progress.waitsFor}; " +
            "deadline ${time(record.plan.deadlineMillis)}"
    }

    private fun why(evidence: Evidence?): String =
        when (evidence?.reason) {
            null -> "reason not recorded"
            UndoReason.TEST -> "the new version was worse: ${evidence.detail}"
            UndoReason.STOP_FLAG -> "stopped: ${evidence.detail}"
            UndoReason.DEADLINE -> "the deadline passed unproved: ${evidence.detail}"
            UndoReason.WITHDRAWN -> "withdrawn: ${evidence.detail}"
        }

    internal fun percent(fraction: Double): String =
        "%.4g".format(Locale.ROOT, fraction * PERCENT).trimEnd('0').trimEnd('.') + "%"

    internal fun time(millis: Long): String =
        Instant.ofEpochMilli(millis - millis % MILLIS_IN_SECOND).toString()

    private const val PERCENT = 100
    private const val MILLIS_IN_SECOND = 1000
}

/** What the mover waits for and the strongest evidence so far, as plain text. */
data class MoverProgress(val waitsFor: String, val strongest: String?)
