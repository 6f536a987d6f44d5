package io.lavenderhinge.core.rollout

/**
 * What one instance sends where: the declared plans, the records as last read, and the stop flags.
 *
 * A rollout that is stopped, withdrawn or unknown sends nothing to the new version. During an
 * outage the last record read stays in force, and a flag overrides it.
 */
object VersionSplitRule {
    /**
     * The split of the target of [plans]; null when no rollout of it is declared and has started.
     */
    fun split(
        plans: List<RolloutPlan>,
        records: Map<String, StoredRecord>,
        flags: StopFlags,
    ): VersionSplit? {
        val started =
            plans.mapNotNull { plan ->
                val record = records[plan.recordKey]?.record
                record?.takeIf { it.plan.rolloutId == plan.rolloutId }
            }
        val current =
            started.firstOrNull { !it.phase.terminal }
                ?: started.maxByOrNull { it.stepSinceMillis }
                ?: return null
        val plan = current.plan
        val stopped = flags.find(plan.rolloutId) != null || current.phase == RolloutPhase.UNDONE
        return VersionSplit(
            rolloutId = plan.rolloutId,
            fromVersion = plan.fromVersion,
            toVersion = plan.toVersion,
            newShareFraction = if (stopped) 0.0 else current.shareFraction,
        )
    }
}
