package io.lavenderhinge.core.scheduling

/**
 * Health of a backend server. [capacityFraction] is in (0, 1] and scales the limit of a server that
 * is slow or recovering.
 */
data class ServerHealth(val state: ServerState, val capacityFraction: Double = 1.0)

/** Whether a backend server may receive new work. */
enum class ServerState {
    LIVE,
    LEAVING,
    DOWN,
}
