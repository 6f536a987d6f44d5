package io.lavenderhinge.core.routing

/** Reason for which no slot was found. Nothing was sent, so the outcome is `not-run`. */
enum class SlotRefusalReason {
    /** No live backend server serves the target in this version. */
    NO_SERVER,
    /** No reachable backend server can answer before the deadline. */
    DEADLINE,
    /** Queues are full, or the tier is closed while a higher tier needs the pool. */
    OVERLOADED,
    /** The retry budget of the workspace is exhausted. */
    RETRY_BUDGET,
    /** This instance is shutting down. */
    SHUTDOWN,
}

/** A refusal with the time after which a retry may succeed. [message] states the remedy. */
data class SlotRefusal(
    val reason: SlotRefusalReason,
    val retryAfterMillis: Long,
    val message: String,
)
