package io.lavenderhinge.core.routing

/** Expected cost of sending a request to a backend server now; lower is better. */
internal class ServerScore(val server: ServerStats, val millis: Double)
