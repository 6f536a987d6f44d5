package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.FalseAlarmBudget
import io.lavenderhinge.core.rollout.InstanceStatistics
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutController
import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RolloutQueue
import io.lavenderhinge.core.rollout.RolloutRecord
import io.lavenderhinge.core.rollout.Statements
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionSplit
import io.lavenderhinge.core.rollout.VersionSplitRule

/** Rollout state of one target on one instance: declared plans, local statistics and controller. */
internal class TargetRollout(
    val target: TeamTarget,
    private val selfId: String,
    private val statisticsId: String,
    private val flags: StopFlags,
) {
    val controller = RolloutController(selfId, target)
    var plans: List<RolloutPlan> = emptyList()
        private set

    var nextReportMillis = 0L
    private var statistics: InstanceStatistics? = null
    private val statementsByName = HashMap<String, String>()

    /** Updates the declared plans and starts the statistics of the current rollout step. */
    fun update(declared: List<RolloutPlan>, instances: Int, nowMillis: Long) {
        plans = declared
        val current = declaredRecord()
        val id = current?.plan?.rolloutId
        if (id != statistics?.plan?.rolloutId) {
            statistics = current?.let { createStatistics(it, instances) }
        }
        current?.let { statistics?.startStep(it.stepNumber, nowMillis) }
    }

    /** True if a rollout is declared or in progress, so that records must be read. */
    fun needsRecords(): Boolean = plans.isNotEmpty() || inProgress() != null

    fun split(): VersionSplit? = VersionSplitRule.split(plans, controller.records, flags)

    /** The rollout in progress, even if it is no longer declared. */
    fun inProgress(): RolloutRecord? = RolloutQueue.inProgress(target, controller.records)?.record

    fun observe(route: String, version: String, outcome: RequestOutcome) {
        statistics?.observe(route, version, outcome)
    }

    /** Evaluates this instance's own statistics; returns a flag if the version must be stopped. */
    fun evaluate(nowMillis: Long): StopFlag? {
        val own = statistics ?: return null
        if (flags.find(own.plan.rolloutId) != null) return null
        return own.evaluate(nowMillis)
    }

    /** The statistics to report, or null if no rollout is moving. */
    fun reportableStatistics(): InstanceStatistics? =
        statistics?.takeIf { inProgress()?.phase == RolloutPhase.MOVING }

    fun setStatement(plan: RolloutPlan, statement: String) {
        statementsByName[plan.name] = statement
    }

    /** Statements by `team/name`. */
    fun statements(nowMillis: Long): Map<String, String> =
        plans.associate { "${it.team}/${it.name}" to statement(it, nowMillis) }

    private fun statement(plan: RolloutPlan, nowMillis: Long): String {
        val record = controller.records[plan.recordKey]?.record
        val flag = flags.find(plan.rolloutId)
        if (record == null || record.plan.rolloutId != plan.rolloutId) {
            return if (flag != null) Statements.stopped(plan, flag)
            else Statements.waiting(plan, "not started or its record could not be read yet")
        }
        if (flag != null && record.phase != RolloutPhase.UNDONE) {
            return Statements.stopped(plan, flag)
        }
        val own = statementsByName[plan.name]
        val isController = !record.phase.terminal && controller.holdsLease(nowMillis)
        return if (own != null && isController) own else Statements.of(record, null)
    }

    private fun declaredRecord(): RolloutRecord? =
        inProgress()?.takeIf { record -> plans.any { it.rolloutId == record.plan.rolloutId } }

    private fun createStatistics(record: RolloutRecord, instances: Int) =
        InstanceStatistics(
            plan = record.plan,
            instanceId = statisticsId,
            logThreshold = FalseAlarmBudget().instanceLogThreshold(instances),
            window = TestWindow(record.startedAtMillis, record.plan.deadlineMillis),
        )

    /** Passes [event] to the controller and returns its effects. */
    fun on(event: ControllerEvent, nowMillis: Long) = controller.on(event, nowMillis)
}
