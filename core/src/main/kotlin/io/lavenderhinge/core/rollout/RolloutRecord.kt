package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/** Lifecycle phase of a rollout. */
enum class RolloutPhase {
    PLANNED,
    WARMING,
    MOVING,
    DONE,
    UNDONE;

    /** True if no further decision is pending. */
    val terminal: Boolean
        get() = this == DONE || this == UNDONE
}

/** Reason for a rollback. */
enum class UndoReason {
    /** The sequential test over all instances rejected the new version. */
    TEST,
    /** A stop flag was raised, for example by the test of a single instance. */
    STOP_FLAG,
    /** The deadline passed before all steps were complete. */
    DEADLINE,
    /** The settings no longer declare the rollout, or declare different versions. */
    WITHDRAWN,
}

/** Evidence for a rollback. [detail] is one sentence with the counts. */
data class Evidence(val reason: UndoReason, val detail: String)

/**
 * The authoritative state of one rollout, written with compare-and-swap to [RolloutPlan.recordKey].
 *
 * [step] is an index into the shares of [RolloutSteps]. [stepNumber] increases with every change of
 * the active share, [shareFraction], and identifies the step in statistics. [logEvidence] preserves
 * the state of each test, by test name, across steps and controllers. [controllerCount] increases
 * with each takeover.
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
     * Fencing number of orders. The version counts the writes of a single key, so a later rollout
     * under another name starts at a low version. [RolloutRecord.fencingBase] raises the number
     * above what engines have already seen.
     */
    val fencingNumber: Long
        get() = record.fencingBase + version
}
