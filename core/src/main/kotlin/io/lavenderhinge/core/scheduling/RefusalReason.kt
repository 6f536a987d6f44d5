package io.lavenderhinge.core.scheduling

/** Why a home refused an ask. */
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
