package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember
import kotlinx.collections.immutable.ImmutableList

/** Input of [MembershipTable]. */
sealed interface MembershipEvent {
    /** Periodic timer event, sent about four times a second. */
    data object Tick : MembershipEvent

    /** The platform's live list was read. */
    data class ListFetched(val members: ImmutableList<ListedMember>) : MembershipEvent

    /** The platform's live list could not be read. */
    data class ListFailed(val message: String) : MembershipEvent

    /** A digest with [heartbeats] arrived; [replyWanted] asks for a digest in return. */
    data class HeartbeatsReceived(
        val from: String,
        val heartbeats: ImmutableList<Heartbeat>,
        val replyWanted: Boolean,
    ) : MembershipEvent

    /** The link to an instance broke. */
    data class LinkLost(val instanceId: String) : MembershipEvent

    /** This instance called a backend server, or a peer reported that it did. */
    data class ServerObserved(val serverId: String, val observation: ServerObservation) :
        MembershipEvent

    /** This instance is shutting down and leaves the fleet. */
    data object LeaveRequested : MembershipEvent
}
