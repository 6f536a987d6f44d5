package io.lavenderhinge.instance.membership

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.MemberList
import kotlin.random.Random
import org.slf4j.LoggerFactory

/**
 * Sends the last known live list to instances that start while the platform is unavailable.
 *
 * Without it such an instance would get the settings from its peers but know no backend server. A
 * peer's list may be stale, so it is used only while no other list is known. Confined to the
 * control thread.
 */
internal class LiveListExchange(
    private val links: PeerLinks,
    private val random: Random,
    private val peers: () -> List<String>,
    private val onList: (List<ListedMember>) -> Unit,
) {
    private var lastList: List<ListedMember>? = null

    /** True once a list was received from the platform or from a peer. */
    @Volatile
    var isKnown = false
        private set

    /** Replaces the last known list. */
    fun update(members: List<ListedMember>) {
        lastList = members
        isKnown = true
    }

    /** Requests the list from a random peer while none is known. */
    fun requestWhileUnknown() {
        if (isKnown) return
        val peer = peers().randomOrNull(random) ?: return
        links.send(peer, frame(MemberList.newBuilder().setWanted(true)))
    }

    /** Replies to the request of a peer, or uses the list in its reply. */
    fun onMessage(from: String, message: MemberList) {
        val known = lastList
        if (message.wanted && known != null) {
            val members = known.map(MemberCodec::encode)
            links.send(from, frame(MemberList.newBuilder().addAllMembers(members)))
        }
        if (message.membersCount == 0 || isKnown) return
        log.info(
            "membership: using the live list sent by {}; none was read from the platform",
            from,
        )
        update(message.membersList.mapNotNull(MemberCodec::decode))
        onList(checkNotNull(lastList))
    }

    private fun frame(list: MemberList.Builder): Frame =
        Frame.newBuilder().setMemberList(list).build()

    private companion object {
        val log = LoggerFactory.getLogger(LiveListExchange::class.java)
    }
}
