package io.lavenderhinge.core.health

/** Input event of [HealthTable]. */
sealed interface HealthEvent {
    /** A request was answered. [firstTokenMillis] is null if the answer has no first token. */
    data class Answered(val serverId: String, val firstTokenMillis: Long?) : HealthEvent

    /** A request or probe failed with [kind]. */
    data class Failed(val serverId: String, val kind: FailureKind) : HealthEvent

    /** The live list, which lags, contains the server as a member of [pool]. */
    data class Listed(val serverId: String, val pool: String, val leaving: Boolean) : HealthEvent

    /** The live list, which lags, no longer contains the server. */
    data class Unlisted(val serverId: String) : HealthEvent

    /** The server sent a load report or answered a probe, so it is reachable. */
    data class LoadReported(val serverId: String) : HealthEvent

    /** Periodic tick. */
    data object Tick : HealthEvent
}

/** Kind of failure of a request to a backend server. */
enum class FailureKind {
    CONNECTION_REFUSED,
    CONNECTION_RESET,
    SERVER_ERROR,
    TIMEOUT,
    DRAINING,
}

/** Health state of a backend server as determined by this instance. */
enum class ServerState {
    LIVE,
    SUSPECT,
    SLOW,
    RECOVERING,
    LEAVING,
    DEAD,
}

/** Output of [HealthTable]. */
sealed interface HealthEffect {
    /**
     * Probe the server now on a fresh connection. Report success as [HealthEvent.LoadReported] and
     * failure as [HealthEvent.Failed].
     */
    data class Probe(val serverId: String) : HealthEffect

    /** The state of the server changed. [reason] is written to the log. */
    data class StateChanged(val serverId: String, val state: ServerState, val reason: String) :
        HealthEffect
}
