package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.ErrorBudget
import io.lavenderhinge.core.rollout.InstanceStatistics
import io.lavenderhinge.core.rollout.Mover
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RolloutView
import io.lavenderhinge.core.rollout.SequentialTestFactory
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.StoredRecord
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionSplit

/** One instance: the core's classes with the state that the shell would keep. */
class SimulatedInstance(
    val id: String,
    private val plan: RolloutPlan,
    instances: Int,
    factory: SequentialTestFactory,
) {
    val mover = Mover(id, plan.teamTarget, factory = factory)
    val flags = StopFlags()
    val statistics =
        InstanceStatistics(
            plan,
            id,
            ErrorBudget().instanceLogThreshold(instances),
            TestWindow(0, plan.deadlineMillis),
            factory,
        )
    var nextReportMillis = 0L
    var nextReadMillis = 0L
    private var records: Map<String, StoredRecord> = emptyMap()

    /** The split in force here. */
    var split: VersionSplit? = null
        private set

    fun read(current: List<StoredRecord>, nowMillis: Long) {
        records = current.associateBy { it.record.plan.recordKey }
        records.values.firstOrNull()?.let { statistics.enterStep(it.record.stepNumber, nowMillis) }
        refresh()
    }

    fun refresh() {
        split = RolloutView.split(listOf(plan), records, flags)
    }

    fun moverId(): String? = records.values.firstOrNull()?.record?.moverId

    fun observe(route: String, version: String, outcome: RequestOutcome) =
        statistics.observe(route, version, outcome)
}
