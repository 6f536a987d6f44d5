package io.lavenderhinge.core.rollout

/**
 * Derives the traffic split of an instance from the declared plans, the last read records and the
 * stop flags.
 *
 * A rollout that is stopped, withdrawn or unknown sends no traffic to the new version. During an
 * outage the last read record stays in effect, and a stop flag overrides it.
 */
object VersionSplitRule {
    /** The split for the target of [plans], or null if no declared rollout has started. */
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
