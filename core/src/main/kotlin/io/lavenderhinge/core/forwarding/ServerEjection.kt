package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun
import kotlinx.collections.immutable.ImmutableList

/** The ejection of a server, with what it was compared to. Shares of failures are 0 to 1. */
data class ServerEjection(
    val run: ServerRun,
    val service: String,
    val failureFraction: Double,
    /** Ids of the other servers of the pool. */
    val otherServers: ImmutableList<String>,
    val othersFailureFraction: Double,
    /** False if the server stays in use because the others are no better. */
    val isInForce: Boolean,
)
