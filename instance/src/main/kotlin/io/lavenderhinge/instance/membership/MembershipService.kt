package io.lavenderhinge.instance.membership

import io.lavenderhinge.core.membership.InstanceView
import io.lavenderhinge.core.membership.LocalInstance
import io.lavenderhinge.core.membership.MemberState
import io.lavenderhinge.core.membership.MembershipEffect
import io.lavenderhinge.core.membership.MembershipEvent
import io.lavenderhinge.core.membership.MembershipTable
import io.lavenderhinge.core.membership.ServerView
import io.lavenderhinge.core.port.LiveList
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Digest
import io.lavenderhinge.protocol.v1.Frame
import java.net.InetSocketAddress
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Runs the membership table on the control thread and gossips its heartbeats.
 *
 * Functions that change something run on the control thread; the other functions may be called on
 * any thread.
 */
class MembershipService(
    private val self: LocalInstance,
    seeds: List<Address>,
    private val liveList: LiveList,
    private val links: PeerLinks,
    private val control: ControlThread,
) {
    private class Snapshot(
        val instances: List<InstanceView>,
        val servers: List<ServerView>,
        val lostDomains: Set<String>,
        val listFault: String?,
    ) {
        val byId = instances.associateBy { it.id }
        val live = instances.filter { it.state == MemberState.LIVE }
    }

    private val seedAddresses =
        seeds.filter { it.toString() != self.address }.associateBy { "$SEED_PREFIX$it" }
    private val table =
        MembershipTable(self, seedAddresses.keys.toList(), control.nowMillis(), control.random)
    private val listExchange =
        LiveListExchange(links, control.random, ::peersAndSeeds) {
            handle(MembershipEvent.ListFetched(it.toImmutableList()))
        }
    private val digestContributors = mutableListOf<DigestContributor>()
    private val listeners = mutableListOf<(MembershipEffect) -> Unit>()
    @Volatile private var snapshot = currentSnapshot()

    /** Starts the periodic work and receives frames from now on. */
    fun start() {
        links.onFrame { from, frame ->
            if (frame.bodyCase == Frame.BodyCase.DIGEST) receive(from, frame.digest)
            if (frame.bodyCase == Frame.BodyCase.MEMBER_LIST) {
                listExchange.onMessage(from, frame.memberList)
            }
        }
        links.onLinkLost { handle(MembershipEvent.LinkLost(it)) }
        control.every(TICK_MILLIS) { handle(MembershipEvent.Tick) }
        control.every(LIST_REQUEST_MILLIS) { listExchange.requestWhileUnknown() }
    }

    /** Adds [contributor] to every digest that is exchanged. */
    fun addDigestContributor(contributor: DigestContributor) {
        digestContributors += contributor
    }

    /** Calls [listener] on the control thread with each change of an instance or server. */
    fun onChange(listener: (MembershipEffect) -> Unit) {
        listeners += listener
    }

    /** All known instances, this one included. */
    fun instances(): List<InstanceView> = snapshot.instances

    /** Ids of the live instances; this one is among them until it leaves. */
    fun liveInstances(): List<String> = snapshot.live.map { it.id }

    /** Ids of the live instances of [failureDomain]. */
    fun liveInstances(failureDomain: String): List<String> =
        snapshot.live.filter { it.failureDomain == failureDomain }.map { it.id }

    /** All listed backend servers with their state. */
    fun servers(): List<ServerView> = snapshot.servers

    /** Failure domains whose known instances are all dead. */
    fun lostDomains(): Set<String> = snapshot.lostDomains

    /**
     * True once the live list was read, or received from a peer while the platform is unavailable.
     */
    fun isListKnown(): Boolean = listExchange.isKnown

    /** Why the last poll of the live list failed; null when it succeeded. */
    fun listFault(): String? = snapshot.listFault

    /** Address of the peer port of an instance or seed; null when unknown. */
    fun addressOf(instanceId: String): InetSocketAddress? {
        val seed = seedAddresses[instanceId]
        if (seed != null) return InetSocketAddress(seed.ip, seed.port)
        val address = snapshot.byId[instanceId]?.address ?: return null
        val port = address.substringAfterLast(':').toIntOrNull() ?: return null
        return InetSocketAddress(address.substringBeforeLast(':').trim('[', ']'), port)
    }

    /** Notifies the peers that this instance is leaving; call it on the control thread. */
    fun leave() {
        log.info("membership: leaving the fleet")
        handle(MembershipEvent.LeaveRequested)
    }

    private fun receive(from: String, digest: Digest) {
        if (digest.heartbeatsCount == 0 && !digest.replyWanted) return
        val heartbeats = digest.heartbeatsList.map(HeartbeatCodec::decode)
        handle(
            MembershipEvent.HeartbeatsReceived(
                from,
                heartbeats.toImmutableList(),
                digest.replyWanted,
            )
        )
    }

    private fun handle(event: MembershipEvent) {
        val effects = table.handle(event, control.nowMillis())
        snapshot = currentSnapshot()
        effects.forEach(::execute)
    }

    private fun execute(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.FetchList -> fetchList()
            is MembershipEffect.SendDigest -> send(effect)
            is MembershipEffect.InstanceChanged -> {
                log.info("membership: instance {} is {}, was {}", effect.id, effect.to, effect.from)
                listeners.forEach { it(effect) }
            }
            is MembershipEffect.ServerChanged -> {
                log.info("membership: server {} is {}, was {}", effect.id, effect.to, effect.from)
                listeners.forEach { it(effect) }
            }
        }
    }

    private fun fetchList() {
        control.scope.launch {
            liveList
                .fetch()
                .fold(
                    { handle(MembershipEvent.ListFailed(it.message)) },
                    {
                        listExchange.update(it)
                        handle(MembershipEvent.ListFetched(it))
                    },
                )
        }
    }

    private fun send(effect: MembershipEffect.SendDigest) {
        val digest =
            Digest.newBuilder()
                .setReplyWanted(effect.replyWanted)
                .addAllHeartbeats(effect.heartbeats.map(HeartbeatCodec::encode))
        if (effect.isGossipExchange) digestContributors.forEach { it.contributeTo(digest) }
        // A failed send is not retried: the next gossip exchange carries the same data.
        links.send(effect.to, Frame.newBuilder().setDigest(digest).build())
    }

    private fun peersAndSeeds(): List<String> =
        liveInstances().filter { it != links.selfId }.ifEmpty { seedAddresses.keys.toList() }

    private fun currentSnapshot() =
        Snapshot(table.instances, table.servers, table.lostDomains(), table.listFault)

    private companion object {
        const val TICK_MILLIS = 250L
        const val LIST_REQUEST_MILLIS = 500L
        const val SEED_PREFIX = "seed/"
        val log = LoggerFactory.getLogger(MembershipService::class.java)
    }
}
