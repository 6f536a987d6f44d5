package io.lavenderhinge.core.routing

/** Why no slot was found. Nothing was sent: the outcome is `not-run`. */
enum class SlotRefusalReason {
    /** No live backend server serves the target in this version. */
    NO_SERVER,
    /** No reachable backend server can answer before the deadline. */
    DEADLINE,
    /** Queues are full, or the tier is closed while a higher tier needs the pool. */
    OVERLOADED,
    /** The workspace used up its retry budget. */
    RETRY_BUDGET,
    /** This instance shuts down. */
    SHUTDOWN,
}

/** A refusal with the time after which a retry can succeed. [message] names the remedy. */
data class SlotRefusal(
    val reason: SlotRefusalReason,
    val retryAfterMillis: Long,
    val message: String,
)
