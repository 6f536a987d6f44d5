package io.lavenderhinge.core.membership

/** Output of [MembershipTable]. */
sealed interface MembershipEffect {
    /** Read the platform's list. */
    data object FetchList : MembershipEffect

    /**
     * Send a digest to [to] with [heartbeats]. A gossip exchange has [replyWanted]; a notice to one
     * peer about a single change is not [isGossipExchange] and carries nothing else.
     */
    data class SendDigest(
        val to: String,
        val heartbeats: List<Heartbeat>,
        val replyWanted: Boolean,
        val isGossipExchange: Boolean,
    ) : MembershipEffect

    /** An instance changed its state. */
    data class InstanceChanged(val id: String, val from: MemberState, val to: MemberState) :
        MembershipEffect

    /** A backend server changed its state. */
    data class ServerChanged(val id: String, val from: MemberState, val to: MemberState) :
        MembershipEffect
}
