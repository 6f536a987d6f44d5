package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.UndoReason

/** What is simulated in one run. */
data class RunSettings(
    val deployment: Deployment,
    val kind: VersionKind,
    val test: ComparedTest,
    val seed: Int,
    val outage: Boolean,
    val deadlineSeconds: Long = 7_200,
)

/** What one run showed. Times are in seconds of virtual time. */
data class RunResult(
    val phase: RolloutPhase,
    val reason: UndoReason?,
    val endSeconds: Long,
    val requests: Long,
    val spoiled: Long,
    val firstSpoiledSeconds: Long?,
    val lastNewSeconds: Long?,
) {
    /** True when the new version was stopped because of what it did. */
    val rejected: Boolean
        get() =
            phase == RolloutPhase.UNDONE &&
                (reason == UndoReason.TEST || reason == UndoReason.STOP_FLAG)

    /** From the first request that the fault spoiled to the last one that the version got. */
    val exposedSeconds: Long?
        get() {
            val first = firstSpoiledSeconds ?: return null
            return (lastNewSeconds ?: first) - first
        }
}
