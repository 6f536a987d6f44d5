package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target
import kotlin.math.min
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/** What the mover knows about the rollout under way when it decides. */
internal class MoverView(
    val flags: StopFlags,
    val pool: EvidencePool?,
    val inStep: Map<String, RouteCounts>,
    val readyServers: Int,
    val totalServers: Int,
    val weightsPresent: Boolean?,
    val logThreshold: Double,
) {
    /** The strongest test with its counts, as text. */
    val strongest: String?
        get() = pool?.strongest?.let { Statements.describe(it, inStep) }
}

/** The outcome of one decision: a changed record, or what the rollout waits for. */
internal sealed interface MoverDecision {
    data class Change(val record: RolloutRecord) : MoverDecision

    data class Wait(val reason: String) : MoverDecision
}

/** Rules by which a rollout proceeds; a pure function of the record and what the mover knows. */
internal object MoverRules {
    fun decide(
        record: RolloutRecord,
        declared: RolloutPlan?,
        view: MoverView,
        nowMillis: Long,
    ): MoverDecision {
        undoEvidence(record, declared, view, nowMillis)?.let {
            return MoverDecision.Change(undone(record, it, nowMillis))
        }
        if (record.phase.terminal) return MoverDecision.Wait("finished")
        if (declared != null && declared != record.plan) {
            return MoverDecision.Change(altered(record, declared, view))
        }
        return when (record.phase) {
            RolloutPhase.PLANNED -> plan(record, view, nowMillis)
            RolloutPhase.WARMING -> warm(record, view, nowMillis)
            else -> move(record, view, nowMillis)
        }
    }

    private fun undoEvidence(
        record: RolloutRecord,
        declared: RolloutPlan?,
        view: MoverView,
        nowMillis: Long,
    ): Evidence? {
        if (record.phase == RolloutPhase.UNDONE) return null
        view.flags.of(record.plan.rolloutId)?.let {
            return Evidence(UndoReason.STOP_FLAG, it.evidence)
        }
        if (record.phase == RolloutPhase.DONE) return null
        if (declared == null) {
            return Evidence(UndoReason.WITHDRAWN, "the settings no longer declare this move")
        }
        if (view.pool != null && view.pool.logEvidence >= view.logThreshold) {
            return Evidence(UndoReason.TEST, view.strongest ?: "all routes together")
        }
        if (nowMillis < declared.deadlineMillis) return null
        return Evidence(UndoReason.DEADLINE, deadlineDetail(record, view, nowMillis))
    }

    private fun deadlineDetail(record: RolloutRecord, view: MoverView, nowMillis: Long): String {
        val reached = "reached share ${Statements.percent(record.shareFraction)}"
        val decision =
            when (record.phase) {
                RolloutPhase.PLANNED -> plan(record, view, nowMillis)
                RolloutPhase.WARMING -> warm(record, view, nowMillis)
                else -> move(record, view, nowMillis)
            }
        val reason = (decision as? MoverDecision.Wait)?.reason ?: "no time was left"
        return "$reached; $reason"
    }

    private fun plan(record: RolloutRecord, view: MoverView, nowMillis: Long): MoverDecision {
        val needsWeights = record.plan.target is Target.Model
        if (needsWeights && view.weightsPresent != true) {
            return MoverDecision.Wait(
                if (view.weightsPresent == null) "waits for the weight store"
                else "the weight store does not have version ${record.plan.toVersion}; upload it"
            )
        }
        return MoverDecision.Change(
            record.copy(phase = RolloutPhase.WARMING, stepSinceMillis = nowMillis)
        )
    }

    private fun warm(record: RolloutRecord, view: MoverView, nowMillis: Long): MoverDecision {
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        StepGate.capacityShortage(steps.shares.first(), record, view)?.let {
            return MoverDecision.Wait(it)
        }
        return MoverDecision.Change(
            record.copy(
                phase = RolloutPhase.MOVING,
                step = 0,
                stepNumber = record.stepNumber + 1,
                shareFraction = steps.shares.first(),
                stepSinceMillis = nowMillis,
            )
        )
    }

    private fun move(record: RolloutRecord, view: MoverView, nowMillis: Long): MoverDecision {
        StepGate.waitReason(record, view, nowMillis)?.let {
            return MoverDecision.Wait(it)
        }
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        val next = record.step + 1
        val share = steps.shares[next]
        return MoverDecision.Change(
            record.copy(
                phase = if (share >= 1.0) RolloutPhase.DONE else RolloutPhase.MOVING,
                step = next,
                stepNumber = record.stepNumber + 1,
                shareFraction = share,
                stepSinceMillis = nowMillis,
                logEvidence = snapshot(view),
            )
        )
    }

    /**
     * A lowered unproved share lowers the share at once when the present one is not a step any
     * more; the share never rises by a change of settings alone.
     */
    private fun altered(
        record: RolloutRecord,
        declared: RolloutPlan,
        view: MoverView,
    ): RolloutRecord {
        val changed = record.copy(plan = declared)
        if (record.phase != RolloutPhase.MOVING) return changed
        val steps = RolloutSteps(declared.unprovedShareFraction)
        val step = steps.stepFor(record.shareFraction)
        val share = min(steps.shares[step], record.shareFraction)
        if (share == record.shareFraction) return changed.copy(step = step)
        return changed.copy(
            step = step,
            stepNumber = record.stepNumber + 1,
            shareFraction = share,
            logEvidence = snapshot(view),
        )
    }

    private fun snapshot(view: MoverView): ImmutableMap<String, Double> =
        view.pool?.snapshot()?.toImmutableMap() ?: persistentMapOf()

    private fun undone(record: RolloutRecord, evidence: Evidence, nowMillis: Long) =
        record.copy(
            phase = RolloutPhase.UNDONE,
            shareFraction = 0.0,
            stepSinceMillis = nowMillis,
            evidence = evidence,
        )
}
