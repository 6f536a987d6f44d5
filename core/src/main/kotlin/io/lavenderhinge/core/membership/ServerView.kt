package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember

/** A backend server as listed, and what is known of it. */
data class ServerView(val member: ListedMember, val state: MemberState)

/** What an instance saw when it called a backend server. */
enum class ServerObservation {
    /** It answered. */
    SERVED,

    /** The connection was refused or reset. */
    UNREACHABLE,

    /** It refused work because it is leaving. */
    DRAINING,
}
