package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.RouteCounts

/**
 * The operator's order to move [service] to backend servers of [targetVersion] within
 * [durationMillis]. [revision] identifies the order: a later one for the service has a higher one.
 */
data class RolloutOrder(
    val service: String,
    val targetVersion: String,
    val durationMillis: Long,
    val revision: Long,
)

/**
 * How far an instance has moved a service. [shareFraction] of the requests may go to the target
 * version.
 */
enum class RolloutStage(val shareFraction: Double) {
    /** A few requests on one server try the version. */
    TRIAL(0.06),
    /** Enough requests on a part of the servers show how the version bears its full load. */
    RAMP(0.25),
    /** Every new request goes to the version. */
    SHIFTED(1.0),
    /** The version failed; no request goes to it any more. */
    WITHDRAWN(0.0),
}

/** What an instance tells the others of a rollout; counts are cumulative. */
data class RolloutReport(
    val service: String,
    val orderRevision: Long,
    val stage: RolloutStage,
    /** Time since any instance saw the order. */
    val elapsedMillis: Long,
    /** Requests that servers of other versions still work on. */
    val oldInFlight: Int,
    val countsByRoute: Map<String, RouteCounts>,
)

/** What there is to tell the operator about a rollout. */
enum class RolloutVerdict {
    IN_PROGRESS,
    COMPLETED,
    ROLLED_BACK,
}
