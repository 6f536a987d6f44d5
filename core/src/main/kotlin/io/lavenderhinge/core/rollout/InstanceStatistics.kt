package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.toImmutableMap

/**
 * Request counts of one rollout on one instance, and the instance's own test of them.
 *
 * A request counts in the step that is active when it ends. The test runs over all steps. A block
 * ends when the share changes, because the test requires a constant traffic share within a block.
 */
class InstanceStatistics(
    val plan: RolloutPlan,
    private val instanceId: String,
    private val logThreshold: Double,
    window: TestWindow,
    factory: SequentialTestFactory = TwoSampleEvidence.factory,
) {
    private val combinedEvidence = CombinedEvidence(window, factory)
    private val byRoute = HashMap<String, RouteState>()
    private var step = 0

    /** Counts an outcome. Versions that are not part of the plan are ignored. */
    fun observe(route: String, version: String, outcome: RequestOutcome) {
        val isNew = version == plan.toVersion
        if (!isNew && version != plan.fromVersion) return
        val state = byRoute.getOrPut(route) { RouteState() }
        val counts = classify(outcome, state.latency.thresholdMillis)
        add(route, if (isNew) RouteCounts(new = counts) else RouteCounts(old = counts))
        if (!isNew && outcome is RequestOutcome.Answered) state.latency.add(outcome.latencyMillis)
    }

    /** Adds outcomes that are already classified. */
    fun add(route: String, counts: RouteCounts) {
        val state = byRoute.getOrPut(route) { RouteState() }
        state.total += counts
    }

    /**
     * Closes the current block and resets the counts when the share of [newStep] becomes active.
     */
    fun startStep(newStep: Int, nowMillis: Long) {
        if (newStep == step) return
        closeBlock(nowMillis)
        step = newStep
        byRoute.values.forEach(RouteState::restart)
    }

    /**
     * Evaluates the counts since the last call; returns a stop flag if the version must be stopped.
     */
    fun evaluate(nowMillis: Long): StopFlag? {
        closeBlock(nowMillis)
        if (combinedEvidence.logEvidence < logThreshold) return null
        val strongest = combinedEvidence.strongest ?: return null
        return StopFlag(
            targetName = plan.target.name,
            version = plan.toVersion,
            rolloutId = plan.rolloutId,
            evidence = "instance $instanceId alone: ${describe(strongest)}",
        )
    }

    /** Cumulative counts of the current step for the controller. */
    fun report(): StatsReport =
        StatsReport(
            plan.rolloutId,
            step,
            instanceId,
            byRoute.mapValues { it.value.total }.toImmutableMap(),
        )

    private fun describe(result: TestResult): String {
        return Statements.describe(result, byRoute.mapValues { it.value.total })
    }

    private fun closeBlock(nowMillis: Long) {
        for ((route, state) in byRoute) {
            val block = state.total - state.evaluated
            if (block == RouteCounts()) continue
            combinedEvidence.observe(route, block, nowMillis)
            state.evaluated = state.total
        }
    }

    private class RouteState {
        val latency = LatencyQuantile()
        var total = RouteCounts()
        var evaluated = RouteCounts()

        fun restart() {
            total = RouteCounts()
            evaluated = RouteCounts()
        }
    }

    private companion object {
        fun classify(outcome: RequestOutcome, thresholdMillis: Long?): VersionCounts =
            when (outcome) {
                is RequestOutcome.Answered ->
                    VersionCounts(1, 0, slowCount(outcome, thresholdMillis))
                RequestOutcome.Failed -> VersionCounts(1, 1, 0)
                RequestOutcome.TimedOut -> VersionCounts(1, 1, 1)
            }

        fun slowCount(outcome: RequestOutcome.Answered, thresholdMillis: Long?): Long =
            if (thresholdMillis != null && outcome.latencyMillis > thresholdMillis) 1 else 0
    }
}
