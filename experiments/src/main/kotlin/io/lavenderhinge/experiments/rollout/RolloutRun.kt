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
    val undoReason: UndoReason?,
    val endSeconds: Long,
    val requests: Long,
    val affectedRequests: Long,
    val firstAffectedSeconds: Long?,
    val lastNewVersionSeconds: Long?,
) {
    /** True when the new version was stopped because of what it did. */
    val rejected: Boolean
        get() =
            phase == RolloutPhase.UNDONE &&
                (undoReason == UndoReason.TEST || undoReason == UndoReason.STOP_FLAG)

    /** From the first request that the fault spoiled to the last one that the version got. */
    val exposureSeconds: Long?
        get() {
            val first = firstAffectedSeconds ?: return null
            return (lastNewVersionSeconds ?: first) - first
        }
}
