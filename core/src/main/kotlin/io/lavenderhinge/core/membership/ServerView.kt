package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember

/** A listed backend server and its state. */
data class ServerView(val member: ListedMember, val state: MemberState)

/** Outcome of a call to a backend server, as far as membership is concerned. */
enum class ServerObservation {
    /** The server responded. */
    SERVED,

    /** The connection was refused or reset. */
    UNREACHABLE,

    /** The server refused the request because it is leaving. */
    DRAINING,
}
