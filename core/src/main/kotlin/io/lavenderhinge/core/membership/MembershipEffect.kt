package io.lavenderhinge.core.membership

/** Output of [MembershipTable]. */
sealed interface MembershipEffect {
    /** Read the platform's live list. */
    data object FetchList : MembershipEffect

    /**
     * Send a digest with [heartbeats] to [to]. [replyWanted] asks for a digest in return.
     * [isGossipExchange] is false for a notice about a single change, which carries nothing else.
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
