package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/** Where a rollout stands. */
enum class RolloutPhase {
    PLANNED,
    WARMING,
    MOVING,
    DONE,
    UNDONE;

    /** True when the mover has nothing left to decide. */
    val terminal: Boolean
        get() = this == DONE || this == UNDONE
}

/** What decided that a rollout was undone. */
enum class UndoReason {
    /** The mover's sequential test rejected the new version. */
    TEST,
    /** An instance stopped the version on its own observations. */
    STOP_FLAG,
    /** The deadline passed before every step was proved. */
    DEADLINE,
    /** The settings no longer declare the rollout, or declare different versions. */
    WITHDRAWN,
}

/** The evidence that decided. [detail] is one plain sentence with the figures. */
data class Evidence(val reason: UndoReason, val detail: String)

/**
 * The authoritative state of one rollout, kept by compare-and-swap under [RolloutPlan.recordKey].
 *
 * [step] indexes the shares of [RolloutSteps]; [stepNumber] rises with every change of the share in
 * force, [shareFraction], and names the step in statistics. [logEvidence] carries the test's state
 * over a change of step or of mover, by test name. [controllerCount] counts the instances that took
 * over.
 */
data class RolloutRecord(
    val plan: RolloutPlan,
    val phase: RolloutPhase,
    val step: Int = 0,
    val stepNumber: Int = 0,
    val shareFraction: Double = 0.0,
    val startedAtMillis: Long,
    val stepSinceMillis: Long,
    val logEvidence: ImmutableMap<String, Double> = persistentMapOf(),
    val evidence: Evidence? = null,
    val controllerId: String = "",
    val controllerCount: Int = 0,
    val fencingBase: Long = 0,
)

/** A record with its version at the key-value service. */
data class StoredRecord(val record: RolloutRecord, val version: Long) {
    /**
     * Number carried by orders. Versions count the writes of one key, so that the first rollout of
     * another name would start below what engines have seen; the base lifts it above.
     */
    val fencingNumber: Long
        get() = record.fencingBase + version
}
