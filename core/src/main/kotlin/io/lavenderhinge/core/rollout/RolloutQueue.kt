package io.lavenderhinge.core.rollout

/** One rollout at a time for each target. */
object RolloutQueue {
    /** The record to work on next, and the plan declared for it. */
    sealed interface Action {
        /** Continue [stored]; [declared] is null when the settings withdrew it. */
        data class Continue(val stored: StoredRecord, val declared: RolloutPlan?) : Action

        /** Start [plan]; [replaces] is the finished record under the same key, if any. */
        data class Start(val plan: RolloutPlan, val replaces: StoredRecord?) : Action

        /** Nothing is declared that is not finished. */
        data object Idle : Action
    }

    /**
     * A rollout of [target] that is under way comes first, declared or not; then the declared ones
     * by deadline and name. [records] are those of the team, by key. A name that still moves
     * another target is free once that rollout is finished.
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

    /** The record of [target] that is not finished, if any. */
    fun inProgress(target: TeamTarget, records: Map<String, StoredRecord>): StoredRecord? =
        records.values.firstOrNull {
            it.record.plan.teamTarget == target && !it.record.phase.terminal
        }

    private fun canStart(plan: RolloutPlan, record: RolloutRecord?): Boolean =
        record == null || (record.phase.terminal && record.plan.rolloutId != plan.rolloutId)
}
