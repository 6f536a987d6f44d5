package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.rollout.ErrorBudget
import io.lavenderhinge.core.rollout.InstanceStatistics
import io.lavenderhinge.core.rollout.Mover
import io.lavenderhinge.core.rollout.MoverEvent
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RolloutQueue
import io.lavenderhinge.core.rollout.RolloutRecord
import io.lavenderhinge.core.rollout.RolloutView
import io.lavenderhinge.core.rollout.Statements
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.StopFlags
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionSplit

/** State of one target on one instance: declared plans, own statistics and the mover. */
internal class TargetRollout(
    val target: TeamTarget,
    private val selfId: String,
    private val statisticsId: String,
    private val flags: StopFlags,
) {
    val mover = Mover(selfId, target)
    var plans: List<RolloutPlan> = emptyList()
        private set

    var nextReportMillis = 0L
    private var statistics: InstanceStatistics? = null
    private val published = HashMap<String, String>()

    /** Adopts the plans in force and follows the records that the mover knows. */
    fun follow(declared: List<RolloutPlan>, instances: Int, nowMillis: Long) {
        plans = declared
        val current = declaredRecord()
        val id = current?.plan?.rolloutId
        if (id != statistics?.plan?.rolloutId) {
            statistics = current?.let { create(it, instances) }
        }
        current?.let { statistics?.enterStep(it.stepNumber, nowMillis) }
    }

    /** True while records must be read: something is declared or not finished. */
    fun active(): Boolean = plans.isNotEmpty() || underWay() != null

    fun split(): VersionSplit? = RolloutView.split(plans, mover.records, flags)

    /** The rollout under way, declared or not. */
    fun underWay(): RolloutRecord? = RolloutQueue.underWay(target, mover.records)?.record

    fun observe(route: String, version: String, outcome: RequestOutcome) {
        statistics?.observe(route, version, outcome)
    }

    /** The flag that the instance's own observations call for. */
    fun judge(nowMillis: Long): StopFlag? {
        val own = statistics ?: return null
        if (flags.of(own.plan.rolloutId) != null) return null
        return own.judge(nowMillis)
    }

    /** The statistics to report, while there is a share to judge. */
    fun reporting(): InstanceStatistics? =
        statistics?.takeIf { underWay()?.phase == RolloutPhase.MOVING }

    fun published(plan: RolloutPlan, statement: String) {
        published[plan.name] = statement
    }

    /** Statements by `team/name`. */
    fun statements(nowMillis: Long): Map<String, String> =
        plans.associate { "${it.team}/${it.name}" to statement(it, nowMillis) }

    private fun statement(plan: RolloutPlan, nowMillis: Long): String {
        val record = mover.records[plan.recordKey]?.record
        val flag = flags.of(plan.rolloutId)
        if (record == null || record.plan.rolloutId != plan.rolloutId) {
            return if (flag != null) Statements.stopped(plan, flag)
            else Statements.waiting(plan, "not started or its record could not be read yet")
        }
        if (flag != null && record.phase != RolloutPhase.UNDONE) {
            return Statements.stopped(plan, flag)
        }
        val own = published[plan.name]
        val moving = !record.phase.terminal && mover.holdsLease(nowMillis)
        return if (own != null && moving) own else Statements.of(record, null)
    }

    private fun declaredRecord(): RolloutRecord? =
        underWay()?.takeIf { record -> plans.any { it.rolloutId == record.plan.rolloutId } }

    private fun create(record: RolloutRecord, instances: Int) =
        InstanceStatistics(
            plan = record.plan,
            instanceId = statisticsId,
            logThreshold = ErrorBudget().instanceLogThreshold(instances),
            window = TestWindow(record.startedAtMillis, record.plan.deadlineMillis),
        )

    /** Passes [event] on; returns the effects. */
    fun on(event: MoverEvent, nowMillis: Long) = mover.on(event, nowMillis)
}
