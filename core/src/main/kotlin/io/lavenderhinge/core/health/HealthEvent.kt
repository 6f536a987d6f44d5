package io.lavenderhinge.core.health

/** Evidence about one backend server. */
sealed interface HealthEvent {
    /** A request was answered; [firstTokenMillis] is null when it has no first token. */
    data class Answered(val serverId: String, val firstTokenMillis: Long?) : HealthEvent

    /** A request or probe failed in the way that [kind] states. */
    data class Failed(val serverId: String, val kind: FailureKind) : HealthEvent

    /** The lagging list shows the server as a member of [pool]. */
    data class Listed(val serverId: String, val pool: String, val leaving: Boolean) : HealthEvent

    /** The lagging list no longer shows the server. */
    data class Unlisted(val serverId: String) : HealthEvent

    /** The server sent a load report or answered a probe, which shows that it is reachable. */
    data class LoadReported(val serverId: String) : HealthEvent

    /** Time passed. */
    data object Tick : HealthEvent
}

/** How a request to a backend server failed. */
enum class FailureKind {
    CONNECTION_REFUSED,
    CONNECTION_RESET,
    SERVER_ERROR,
    TIMEOUT,
    DRAINING,
}

/** State of a backend server as this instance judges it. */
enum class ServerState {
    LIVE,
    SUSPECT,
    SLOW,
    RECOVERING,
    LEAVING,
    DEAD,
}

/** What the shell does about a backend server. */
sealed interface HealthEffect {
    /**
     * Probe the server now on a fresh connection. Report success as [HealthEvent.LoadReported] and
     * failure as [HealthEvent.Failed].
     */
    data class Probe(val serverId: String) : HealthEffect

    /** The server's state changed; [reason] is one plain sentence for the log. */
    data class StateChanged(val serverId: String, val state: ServerState, val reason: String) :
        HealthEffect
}
