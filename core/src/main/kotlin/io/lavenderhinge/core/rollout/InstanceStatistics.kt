package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.toImmutableMap

/**
 * Counts of one rollout on one instance, and its own judgement of them.
 *
 * Requests count in the step in force at their end. The own test runs over all steps; a block ends
 * when the share changes, since within a block both versions must have had the same share of the
 * traffic for all of the time.
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

    /** Counts an outcome; versions other than the two of the plan are ignored. */
    fun observe(route: String, version: String, outcome: RequestOutcome) {
        val isNew = version == plan.toVersion
        if (!isNew && version != plan.fromVersion) return
        val state = byRoute.getOrPut(route) { RouteState() }
        val counts = classify(outcome, state.latency.thresholdMillis)
        add(route, if (isNew) RouteCounts(new = counts) else RouteCounts(old = counts))
        if (!isNew && outcome is RequestOutcome.Answered) state.latency.add(outcome.latencyMillis)
    }

    /** Adds outcomes that were already classified. */
    fun add(route: String, counts: RouteCounts) {
        val state = byRoute.getOrPut(route) { RouteState() }
        state.total += counts
    }

    /** The share of [newStep] came into force: closes the block and counts from zero again. */
    fun startStep(newStep: Int, nowMillis: Long) {
        if (newStep == step) return
        closeBlock(nowMillis)
        step = newStep
        byRoute.values.forEach(RouteState::restart)
    }

    /** Judges what was seen since the last call; returns a flag when the version must stop. */
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

    /** The counts to send to the mover. */
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
