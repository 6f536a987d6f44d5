package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember
import kotlinx.collections.immutable.ImmutableList

/** Input of [MembershipTable]. */
sealed interface MembershipEvent {
    /** Time has passed; sent about twice a second. */
    data object Tick : MembershipEvent

    /** The platform's list was read. */
    data class ListFetched(val members: ImmutableList<ListedMember>) : MembershipEvent

    /** The platform's list could not be read. */
    data class ListFailed(val message: String) : MembershipEvent

    /** A peer's digest carried [heartbeats]; [replyWanted] asks for a digest in return. */
    data class HeartbeatsReceived(
        val from: String,
        val heartbeats: ImmutableList<Heartbeat>,
        val replyWanted: Boolean,
    ) : MembershipEvent

    /** The link to an instance broke. */
    data class LinkLost(val instanceId: String) : MembershipEvent

    /** This instance called a backend server, or heard from one that did. */
    data class ServerObserved(val serverId: String, val observation: ServerObservation) :
        MembershipEvent

    /** This instance is to leave. */
    data object LeaveRequested : MembershipEvent
}
