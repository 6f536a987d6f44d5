package io.lavenderhinge.core.forwarding

/**
 * The requests that may reach a version until its rollout is over, as it may turn out to be faulty
 * at any time: [shareFraction] of the requests of its service since the order, and [slackRequests]
 * more.
 */
data class ExposureLimit(val shareFraction: Double = 0.1, val slackRequests: Double = 50.0)

/** Requests that one instance has sent to the servers of a service since a rollout was ordered. */
data class SentRequests(
    val total: Long = 0,
    /** Those of [total] that were sent to the target version. */
    val onTarget: Long = 0,
    /** Requests per second over the last seconds. */
    val perSecond: Double = 0.0,
)
