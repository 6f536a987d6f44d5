package io.lavenderhinge.core.rollout

/** One rollout at a time for each target. */
object RolloutQueue {
    /** The record to work on next, and the plan declared for it. */
    sealed interface Turn {
        /** Continue [stored]; [declared] is null when the settings withdrew it. */
        data class Continue(val stored: StoredRecord, val declared: RolloutPlan?) : Turn

        /** Start [plan]; [replaces] is the finished record under the same key, if any. */
        data class Start(val plan: RolloutPlan, val replaces: StoredRecord?) : Turn

        /** Nothing is declared that is not finished. */
        data object Idle : Turn
    }

    /**
     * A rollout of [target] that is under way comes first, declared or not; then the declared ones
     * by deadline and name. [records] are those of the team, by key. A name that still moves
     * another target is free once that rollout is finished.
     */
    fun turn(
        target: TeamTarget,
        plans: List<RolloutPlan>,
        records: Map<String, StoredRecord>,
    ): Turn {
        val underWay = underWay(target, records)
        if (underWay != null) {
            val id = underWay.record.plan.rolloutId
            return Turn.Continue(underWay, plans.firstOrNull { it.rolloutId == id })
        }
        val next =
            plans
                .filter { isFree(it, records[it.recordKey]?.record) }
                .minWithOrNull(compareBy({ it.deadlineMillis }, { it.name }))
        return if (next == null) Turn.Idle else Turn.Start(next, records[next.recordKey])
    }

    /** The record of [target] that is not finished, if any. */
    fun underWay(target: TeamTarget, records: Map<String, StoredRecord>): StoredRecord? =
        records.values.firstOrNull {
            it.record.plan.teamTarget == target && !it.record.phase.terminal
        }

    private fun isFree(plan: RolloutPlan, record: RolloutRecord?): Boolean =
        record == null || (record.phase.terminal && record.plan.rolloutId != plan.rolloutId)
}
