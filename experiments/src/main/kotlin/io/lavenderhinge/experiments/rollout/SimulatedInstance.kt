package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.FalseAlarmBudget
import io.lavenderhinge.core.rollout.InstanceStatistics
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutController
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.SequentialTestFactory
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.StoredRecord
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionSplit
import io.lavenderhinge.core.rollout.VersionSplitRule

/** One instance: the core's classes with the state that the shell would keep. */
class SimulatedInstance(
    val id: String,
    private val plan: RolloutPlan,
    instances: Int,
    factory: SequentialTestFactory,
) {
    val mover = RolloutController(id, plan.teamTarget, factory = factory)
    val flags = StopFlags()
    val statistics =
        InstanceStatistics(
            plan,
            id,
            FalseAlarmBudget().instanceLogThreshold(instances),
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
        records.values.firstOrNull()?.let { statistics.startStep(it.record.stepNumber, nowMillis) }
        refresh()
    }

    fun refresh() {
        split = VersionSplitRule.split(listOf(plan), records, flags)
    }

    fun moverId(): String? = records.values.firstOrNull()?.record?.controllerId

    fun observe(route: String, version: String, outcome: RequestOutcome) =
        statistics.observe(route, version, outcome)
}
