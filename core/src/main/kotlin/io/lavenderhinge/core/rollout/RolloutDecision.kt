package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target
import kotlin.math.min
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/** Inputs of one decision besides the record and the declared plan. */
internal class DecisionInput(
    val flags: StopFlags,
    val combinedEvidence: CombinedEvidence?,
    val stepTotals: Map<String, RouteCounts>,
    val readyServers: Int,
    val requiredServers: Int,
    val weightsPresent: Boolean?,
    val logThreshold: Double,
) {
    /** Description of the strongest test with its counts. */
    val strongest: String?
        get() = combinedEvidence?.strongest?.let { Statements.describe(it, stepTotals) }
}

/** A decision: a changed record to write, or the reason why the rollout waits. */
internal sealed interface RolloutDecision {
    data class Change(val record: RolloutRecord) : RolloutDecision

    data class Wait(val reason: String) : RolloutDecision
}

/**
 * Decides the next change of a rollout as a pure function of the record, the declared plan and the
 * [DecisionInput].
 */
internal object RolloutRules {
    fun decide(
        record: RolloutRecord,
        declared: RolloutPlan?,
        input: DecisionInput,
        nowMillis: Long,
    ): RolloutDecision {
        rollbackEvidence(record, declared, input, nowMillis)?.let {
            return RolloutDecision.Change(rolledBack(record, it, nowMillis))
        }
        if (record.phase.terminal) return RolloutDecision.Wait("finished")
        if (declared != null && declared != record.plan) {
            return RolloutDecision.Change(withChangedPlan(record, declared, input))
        }
        return when (record.phase) {
            RolloutPhase.PLANNED -> decidePlanned(record, input, nowMillis)
            RolloutPhase.WARMING -> decideWarming(record, input, nowMillis)
            else -> decideMoving(record, input, nowMillis)
        }
    }

    private fun rollbackEvidence(
        record: RolloutRecord,
        declared: RolloutPlan?,
        input: DecisionInput,
        nowMillis: Long,
    ): Evidence? {
        if (record.phase == RolloutPhase.UNDONE) return null
        input.flags.find(record.plan.rolloutId)?.let {
            return Evidence(UndoReason.STOP_FLAG, it.evidence)
        }
        if (record.phase == RolloutPhase.DONE) return null
        if (declared == null) {
            return Evidence(UndoReason.WITHDRAWN, "the settings no longer declare this move")
        }
        if (
            input.combinedEvidence != null &&
                input.combinedEvidence.logEvidence >= input.logThreshold
        ) {
            return Evidence(UndoReason.TEST, input.strongest ?: "all routes together")
        }
        if (nowMillis < declared.deadlineMillis) return null
        return Evidence(UndoReason.DEADLINE, deadlineDetail(record, input, nowMillis))
    }

    private fun deadlineDetail(
        record: RolloutRecord,
        input: DecisionInput,
        nowMillis: Long,
    ): String {
        val reached = "reached share ${Statements.percent(record.shareFraction)}"
        val decision =
            when (record.phase) {
                RolloutPhase.PLANNED -> decidePlanned(record, input, nowMillis)
                RolloutPhase.WARMING -> decideWarming(record, input, nowMillis)
                else -> decideMoving(record, input, nowMillis)
            }
        val reason = (decision as? RolloutDecision.Wait)?.reason ?: "no time was left"
        return "$reached; $reason"
    }

    private fun decidePlanned(
        record: RolloutRecord,
        input: DecisionInput,
        nowMillis: Long,
    ): RolloutDecision {
        val needsWeights = record.plan.target is Target.Model
        if (needsWeights && input.weightsPresent != true) {
            return RolloutDecision.Wait(
                if (input.weightsPresent == null) "waits for the weight store"
                else "the weight store does not have version ${record.plan.toVersion}; upload it"
            )
        }
        return RolloutDecision.Change(
            record.copy(phase = RolloutPhase.WARMING, stepSinceMillis = nowMillis)
        )
    }

    private fun decideWarming(
        record: RolloutRecord,
        input: DecisionInput,
        nowMillis: Long,
    ): RolloutDecision {
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        StepGate.serverShortage(steps.shares.first(), record, input)?.let {
            return RolloutDecision.Wait(it)
        }
        return RolloutDecision.Change(
            record.copy(
                phase = RolloutPhase.MOVING,
                step = 0,
                stepNumber = record.stepNumber + 1,
                shareFraction = steps.shares.first(),
                stepSinceMillis = nowMillis,
            )
        )
    }

    private fun decideMoving(
        record: RolloutRecord,
        input: DecisionInput,
        nowMillis: Long,
    ): RolloutDecision {
        StepGate.waitReason(record, input, nowMillis)?.let {
            return RolloutDecision.Wait(it)
        }
        val steps = RolloutSteps(record.plan.unprovedShareFraction)
        val next = record.step + 1
        val share = steps.shares[next]
        return RolloutDecision.Change(
            record.copy(
                phase = if (share >= 1.0) RolloutPhase.DONE else RolloutPhase.MOVING,
                step = next,
                stepNumber = record.stepNumber + 1,
                shareFraction = share,
                stepSinceMillis = nowMillis,
                logEvidence = snapshot(input),
            )
        )
    }

    /**
     * Applies a changed plan. If the current share is no longer a step of the new plan, it drops to
     * a lower step at once. A change of settings never raises the share.
     */
    private fun withChangedPlan(
        record: RolloutRecord,
        declared: RolloutPlan,
        input: DecisionInput,
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
            logEvidence = snapshot(input),
        )
    }

    private fun snapshot(input: DecisionInput): ImmutableMap<String, Double> =
        input.combinedEvidence?.snapshot()?.toImmutableMap() ?: persistentMapOf()

    private fun rolledBack(record: RolloutRecord, evidence: Evidence, nowMillis: Long) =
        record.copy(
            phase = RolloutPhase.UNDONE,
            shareFraction = 0.0,
            stepSinceMillis = nowMillis,
            evidence = evidence,
        )
}
