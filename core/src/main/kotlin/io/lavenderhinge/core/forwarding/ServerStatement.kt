package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun

/** What one response of a backend server says about the server itself. */
data class ServerStatement(
    /** True if the server is about to stop and wants no new requests. */
    val isLeaving: Boolean = false,
    /** Time for which the server wants no requests of this instance; null if it states none. */
    val pauseMillis: Long? = null,
    /** Requests per second that the server takes of all instances; null if it states no limit. */
    val limitPerSecond: Double? = null,
    /** Null if the response states no load. */
    val load: StatedLoad? = null,
    /** Time for which the server is still cold; null if the response states none. */
    val coldRemainingMillis: Long? = null,
)

/** A change of what is known from the statements of a server, for the log. */
sealed interface ServerStatementChange {
    /** The server that made the statement. */
    val run: ServerRun

    /** The server has stated for the first time that it is leaving. */
    data class Leaving(override val run: ServerRun) : ServerStatementChange

    /** The server wants no requests of this instance for [pauseMillis] from now. */
    data class Paused(override val run: ServerRun, val pauseMillis: Long) : ServerStatementChange
}
