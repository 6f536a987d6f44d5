package io.lavenderhinge.instance.rollout

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.module.kotlin.jacksonMapperBuilder
import com.fasterxml.jackson.module.kotlin.readValue
import io.lavenderhinge.core.rollout.Evidence
import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RolloutRecord
import io.lavenderhinge.core.settings.Target
import kotlinx.collections.immutable.toImmutableMap

/**
 * JSON encoding of rollout records. Unknown fields are ignored, so that different releases can run
 * side by side.
 */
internal object RecordCodec {
    private val mapper =
        jacksonMapperBuilder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build()

    fun encode(record: RolloutRecord): String =
        mapper.writeValueAsString(
            StoredForm(
                team = record.plan.team,
                name = record.plan.name,
                kind = if (record.plan.target is Target.Model) MODEL else SERVICE,
                target = record.plan.target.name,
                fromVersion = record.plan.fromVersion,
                toVersion = record.plan.toVersion,
                deadlineMillis = record.plan.deadlineMillis,
                unprovedShareFraction = record.plan.unprovedShareFraction,
                phase = record.phase,
                step = record.step,
                stepNumber = record.stepNumber,
                shareFraction = record.shareFraction,
                startedAtMillis = record.startedAtMillis,
                stepSinceMillis = record.stepSinceMillis,
                logEvidence = record.logEvidence,
                evidence = record.evidence,
                moverId = record.controllerId,
                movers = record.controllerCount,
                fencingBase = record.fencingBase,
            )
        )

    /** Decodes [text]; returns null if a newer release wrote a format that this one cannot read. */
    fun decode(text: String): RolloutRecord? =
        try {
            mapper.readValue<StoredForm>(text).toRecord()
        } catch (_: JacksonException) {
            null
        }

    private fun StoredForm.toRecord(): RolloutRecord =
        RolloutRecord(
            plan =
                RolloutPlan(
                    team = team,
                    name = name,
                    target = if (kind == MODEL) Target.Model(target) else Target.Service(target),
                    fromVersion = fromVersion,
                    toVersion = toVersion,
                    deadlineMillis = deadlineMillis,
                    unprovedShareFraction = unprovedShareFraction,
                ),
            phase = phase,
            step = step,
            stepNumber = stepNumber,
            shareFraction = shareFraction,
            startedAtMillis = startedAtMillis,
            stepSinceMillis = stepSinceMillis,
            logEvidence = logEvidence.toImmutableMap(),
            evidence = evidence,
            controllerId = moverId,
            controllerCount = movers,
            fencingBase = fencingBase,
        )

    /** The stored fields; [moverId] and [movers] hold the controller id and count. */
    private data class StoredForm(
        val team: String,
        val name: String,
        val kind: String,
        val target: String,
        val fromVersion: String,
        val toVersion: String,
        val deadlineMillis: Long,
        val unprovedShareFraction: Double,
        val phase: RolloutPhase,
        val step: Int,
        val stepNumber: Int,
        val shareFraction: Double,
        val startedAtMillis: Long,
        val stepSinceMillis: Long,
        val logEvidence: Map<String, Double>,
        val evidence: Evidence?,
        val moverId: String,
        val movers: Int,
        val fencingBase: Long,
    )

    private const val MODEL = "model"
    private const val SERVICE = "service"
}
