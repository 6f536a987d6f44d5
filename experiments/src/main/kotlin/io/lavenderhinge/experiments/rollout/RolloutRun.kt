package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.UndoReason

/** Parameters of one simulated rollout. */
data class RunSettings(
    val deployment: Deployment,
    val kind: VersionKind,
    val test: ComparedTest,
    val seed: Int,
    val outage: Boolean,
    val deadlineSeconds: Long = 7_200,
)

/** Result of one simulated rollout. Times are in seconds of virtual time. */
data class RunResult(
    val phase: RolloutPhase,
    val undoReason: UndoReason?,
    val endSeconds: Long,
    val requests: Long,
    val affectedRequests: Long,
    val firstAffectedSeconds: Long?,
    val lastNewVersionSeconds: Long?,
) {
    /** Whether the new version was rolled back because of its errors or latency. */
    val rejected: Boolean
        get() =
            phase == RolloutPhase.UNDONE &&
                (undoReason == UndoReason.TEST || undoReason == UndoReason.STOP_FLAG)

    /**
     * Time from the first request affected by the fault to the last request routed to the new
     * version.
     */
    val exposureSeconds: Long?
        get() {
            val first = firstAffectedSeconds ?: return null
            return (lastNewVersionSeconds ?: first) - first
        }
}
