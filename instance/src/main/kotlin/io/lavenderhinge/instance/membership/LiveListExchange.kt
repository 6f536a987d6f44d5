package io.lavenderhinge.instance.membership

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.MemberList
import kotlin.random.Random
import org.slf4j.LoggerFactory

/**
 * Shares the last live list with instances that start while the platform is away.
 *
 * Without it such an instance knows the settings from its peers but no backend server. A list from
 * a peer is only taken while none was read: it may be old. Control thread only.
 */
internal class LiveListExchange(
    private val links: PeerLinks,
    private val random: Random,
    private val peers: () -> List<String>,
    private val onList: (List<ListedMember>) -> Unit,
) {
    private var lastList: List<ListedMember>? = null

    /** True once a list is known, from the platform or from a peer. */
    @Volatile
    var isKnown = false
        private set

    /** Takes the list that was read from the platform. */
    fun update(members: List<ListedMember>) {
        lastList = members
        isKnown = true
    }

    /** Asks a random peer while no list is known. */
    fun requestWhileUnknown() {
        if (isKnown) return
        val peer = peers().randomOrNull(random) ?: return
        links.send(peer, frame(MemberList.newBuilder().setWanted(true)))
    }

    /** Answers a peer that asks, or takes a peer's answer. */
    fun onMessage(from: String, message: MemberList) {
        val known = lastList
        if (message.wanted && known != null) {
            val members = known.map(MemberCodec::encode)
            links.send(from, frame(MemberList.newBuilder().addAllMembers(members)))
        }
        if (message.membersCount == 0 || isKnown) return
        log.info("membership: took the live list of {} since the platform is away", from)
        update(message.membersList.mapNotNull(MemberCodec::decode))
        onList(checkNotNull(lastList))
    }

    private fun frame(list: MemberList.Builder): Frame =
        Frame.newBuilder().setMemberList(list).build()

    private companion object {
        val log = LoggerFactory.getLogger(LiveListExchange::class.java)
    }
}
