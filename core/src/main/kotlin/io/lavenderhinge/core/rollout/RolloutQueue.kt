package io.lavenderhinge.core.rollout

/** Selects the next rollout of a target; a target has at most one rollout in progress. */
object RolloutQueue {
    /** The next action for a target. */
    sealed interface Action {
        /** Continue [stored]; [declared] is null if the settings no longer declare it. */
        data class Continue(val stored: StoredRecord, val declared: RolloutPlan?) : Action

        /** Start [plan]; [replaces] is the finished record under the same key, if any. */
        data class Start(val plan: RolloutPlan, val replaces: StoredRecord?) : Action

        /** All declared rollouts are finished. */
        data object Idle : Action
    }

    /**
     * Returns the next action for [target]. A rollout in progress comes first, even if it is no
     * longer declared, followed by the declared plans in order of deadline and name. [records] are
     * the records of the team by key. A rollout name that is in use for another target can be
     * reused once that rollout is finished.
     */
    fun nextAction(
        target: TeamTarget,
        plans: List<RolloutPlan>,
        records: Map<String, StoredRecord>,
    ): Action {
        val inProgress = inProgress(target, records)
        if (inProgress != null) {
            val id = inProgress.record.plan.rolloutId
            return Action.Continue(inProgress, plans.firstOrNull { it.rolloutId == id })
        }
        val next =
            plans
                .filter { canStart(it, records[it.recordKey]?.record) }
                .minWithOrNull(compareBy({ it.deadlineMillis }, { it.name }))
        return if (next == null) Action.Idle else Action.Start(next, records[next.recordKey])
    }

    /** The unfinished record of [target], if any. */
    fun inProgress(target: TeamTarget, records: Map<String, StoredRecord>): StoredRecord? =
        records.values.firstOrNull {
            it.record.plan.teamTarget == target && !it.record.phase.terminal
        }

    private fun canStart(plan: RolloutPlan, record: RolloutRecord?): Boolean =
        record == null || (record.phase.terminal && record.plan.rolloutId != plan.rolloutId)
}
