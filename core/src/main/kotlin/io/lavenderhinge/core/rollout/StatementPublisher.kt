package io.lavenderhinge.core.rollout

/**
 * Publishes status statements when they change, at most once per [MIN_INTERVAL_MILLIS] within a
 * step to stay within the write budget of the platform.
 */
internal class StatementPublisher {
    private val lastByKey = HashMap<String, Published>()

    fun progress(
        record: RolloutRecord,
        progress: ControllerProgress,
        nowMillis: Long,
    ): List<ControllerEffect> =
        publish(record.plan, record, Statements.of(record, progress), nowMillis)

    /** Publishes finished rollouts, and plans that wait for another rollout of the target. */
    fun waiting(
        plans: List<RolloutPlan>,
        records: List<StoredRecord>,
        nowMillis: Long,
    ): List<ControllerEffect> {
        val inProgress = records.firstOrNull { !it.record.phase.terminal }?.record?.plan
        val finished =
            records
                .map { it.record }
                .filter { it.phase.terminal }
                .flatMap { publish(it.plan, it, Statements.of(it, null), nowMillis) }
        if (inProgress == null) return finished
        val reason = "waits for ${inProgress.name}, which moves the same target"
        return finished +
            plans
                .filter { plan -> records.none { it.record.plan.rolloutId == plan.rolloutId } }
                .flatMap { publish(it, null, Statements.waiting(it, reason), nowMillis) }
    }

    private fun publish(
        plan: RolloutPlan,
        record: RolloutRecord?,
        statement: String,
        nowMillis: Long,
    ): List<ControllerEffect> {
        val last = lastByKey[plan.statusKey]
        if (last?.statement == statement) return emptyList()
        val isSameStep = last?.phase == record?.phase && last?.stepNumber == record?.stepNumber
        if (last != null && isSameStep && nowMillis - last.atMillis < MIN_INTERVAL_MILLIS)
            return emptyList()
        lastByKey[plan.statusKey] =
            Published(statement, record?.phase, record?.stepNumber, nowMillis)
        return listOf(ControllerEffect.PublishStatement(plan, statement))
    }

    private class Published(
        val statement: String,
        val phase: RolloutPhase?,
        val stepNumber: Int?,
        val atMillis: Long,
    )

    private companion object {
        const val MIN_INTERVAL_MILLIS = 15_000L
    }
}
