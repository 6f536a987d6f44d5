package io.lavenderhinge.core.forwarding

/** The load that a backend server states of itself. */
data class StatedLoad(
    /** Requests of all callers that the server is processing. */
    val running: Int,
    /** Requests of all callers that wait at the server. */
    val waiting: Int,
    val slots: Int,
    /**
     * How long work takes on the machine of the server, relative to the usual time; null if the
     * server does not state it. Changes many times a second where a machine is shared with others.
     */
    val workTimeFactor: Double?,
)
