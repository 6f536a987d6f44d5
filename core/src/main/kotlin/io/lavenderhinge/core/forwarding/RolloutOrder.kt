package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.RouteCounts

/**
 * An operator's order to move [service] to backend servers of [targetVersion] within
 * [durationMillis]. [revision] identifies the order; a newer order for the service has a higher
 * one.
 */
data class RolloutOrder(
    val service: String,
    val targetVersion: String,
    val durationMillis: Long,
    val revision: Long,
) {
    /** Returns true if [other] asks for the same, whatever its revision. */
    fun hasSameGoal(other: RolloutOrder): Boolean = copy(revision = other.revision) == other
}

/**
 * The progress of a rollout on one instance. A fraction of [shareFraction] of the requests may use
 * the target version.
 */
enum class RolloutStage(val shareFraction: Double) {
    /** A small sample of requests is sent to few servers of the target version. */
    TRIAL(0.02),
    /** Every new request is sent to the target version. */
    SHIFTED(1.0),
    /** The version failed and gets no further requests. */
    WITHDRAWN(0.0),
}

/** A rollout report from one instance to the others. Counts are cumulative. */
data class RolloutReport(
    val service: String,
    val orderRevision: Long,
    val stage: RolloutStage,
    /** Time since the first instance received the order. */
    val elapsedMillis: Long,
    /** Requests in flight at servers of other versions. */
    val oldInFlight: Int,
    val countsByRoute: Map<String, RouteCounts>,
    val sent: SentRequests = SentRequests(),
)

/** The status of a rollout as reported to the operator. */
enum class RolloutVerdict {
    IN_PROGRESS,
    COMPLETED,
    ROLLED_BACK,
}
