package io.lavenderhinge.core.scheduling

/** Reason for which a home refuses a grant request. */
enum class RefusalReason {
    NOT_HOME,
    QUEUE_FULL,
    DEADLINE,
    DISPLACED,
    TIER_CLOSED,
    SERVER_LEAVING,
    SERVER_DOWN,
    SHUTDOWN,
}
