package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.MemberKind
import kotlin.random.Random

/** Who this instance is in the table. [incarnation] is above that of any earlier start. */
data class SelfDescription(
    val id: String,
    val address: String,
    val failureDomain: String,
    val incarnation: Long,
)

/** An instance as others may use it. */
data class InstanceView(
    val id: String,
    val address: String,
    val failureDomain: String,
    val state: MemberState,
)

/**
 * Instances and backend servers as this instance sees them.
 *
 * [seeds] are the peer ids to ask while no other instance is known.
 */
class MembershipTable(
    private val self: SelfDescription,
    seeds: List<String>,
    startedAtMillis: Long,
    random: Random,
    timings: MembershipTimings = MembershipTimings(),
) {
    private val instanceTable = InstanceTable(self.id, self.failureDomain, timings, random)
    private val serverTable = ServerTable(timings)
    private val selection = HeartbeatSelection(self.failureDomain, random)
    private val gossip = GossipPeers(self.failureDomain, seeds, random, startedAtMillis)
    private val listSchedule = ListSchedule(random, startedAtMillis)
    private var own =
        Heartbeat(self.id, self.incarnation, 1, false, self.address, self.failureDomain)
    private var listSize = 0

    /** Why the list could not be read the last time; null when it was. */
    var listFault: String? = "the list was not read yet"
        private set

    /** All known instances with this one, in no particular order. */
    val instances: List<InstanceView>
        get() =
            instanceTable.all.map { InstanceView(it.id, it.address, it.failureDomain, it.state) } +
                InstanceView(self.id, self.address, self.failureDomain, ownState())

    /** Ids of the live instances of [failureDomain]; this one is among them until it leaves. */
    fun liveIn(failureDomain: String): Set<String> =
        instances
            .filter { it.failureDomain == failureDomain && it.state == MemberState.LIVE }
            .mapTo(LinkedHashSet()) { it.id }

    /** All listed backend servers. */
    val servers: List<ServerView>
        get() = serverTable.all

    /** Failure domains with known instances of which none is live or leaving. */
    fun lostDomains(): Set<String> =
        instances
            .groupBy { it.failureDomain }
            .filterValues { all -> all.all { it.state == MemberState.DEAD } }
            .keys

    /** The instance that queues the requests for backend server [serverId]; null if unknown. */
    fun homeOf(serverId: String): String? =
        serverTable[serverId]?.let { home(serverId, it.member.failureDomain) }

    /** Heartbeats for a digest. */
    fun heartbeats(nowMillis: Long): List<Heartbeat> =
        selection.select(own, instanceTable.all, nowMillis)

    /** Handles [event] and returns what is to be done. */
    fun handle(event: MembershipEvent, nowMillis: Long): List<MembershipEffect> {
        val effects =
            when (event) {
                is MembershipEvent.Tick -> onTick(nowMillis)
                is MembershipEvent.ListFetched -> onList(event, nowMillis)
                is MembershipEvent.ListFailed -> onListFailed(event, nowMillis)
                is MembershipEvent.HeartbeatsReceived -> onHeartbeats(event, nowMillis)
                is MembershipEvent.LinkLost -> {
                    instanceTable.onLinkLost(event.instanceId, nowMillis)
                    exchanges(instanceTable.dueProbes(nowMillis), nowMillis)
                }
                is MembershipEvent.ServerObserved -> {
                    serverTable.onObservation(event.serverId, event.observation, nowMillis)
                    emptyList()
                }
                is MembershipEvent.LeaveRequested -> onLeave()
            }
        return effects + instanceTable.refresh(nowMillis) + serverTable.refresh(nowMillis)
    }

    private fun onTick(nowMillis: Long): List<MembershipEffect> {
        val fetch =
            if (listSchedule.isDue(nowMillis)) listOf(MembershipEffect.FetchList) else emptyList()
        val peers = gossip.due(instanceTable.all, nowMillis) + instanceTable.dueProbes(nowMillis)
        return fetch + exchanges(peers.distinct(), nowMillis)
    }

    private fun exchanges(peers: List<String>, nowMillis: Long): List<MembershipEffect> {
        if (peers.isEmpty()) return emptyList()
        own = own.copy(counter = own.counter + 1)
        return peers.map {
            MembershipEffect.SendDigest(
                it,
                heartbeats(nowMillis),
                replyWanted = true,
                exchange = true,
            )
        }
    }

    private fun onList(
        event: MembershipEvent.ListFetched,
        nowMillis: Long,
    ): List<MembershipEffect> {
        listSize = event.members.size
        listSchedule.onAnswer(listSize, nowMillis)
        listFault = null
        val leavingBefore = leavingServers()
        instanceTable.onList(event.members.filter { it.kind == MemberKind.INSTANCE }, nowMillis)
        serverTable.onList(event.members)
        serverTable.refresh(nowMillis)
        return (leavingServers() - leavingBefore).mapNotNull(::notice)
    }

    private fun onListFailed(
        event: MembershipEvent.ListFailed,
        nowMillis: Long,
    ): List<MembershipEffect> {
        listSchedule.onAnswer(listSize, nowMillis)
        listFault = event.message
        return emptyList()
    }

    private fun onHeartbeats(
        event: MembershipEvent.HeartbeatsReceived,
        nowMillis: Long,
    ): List<MembershipEffect> {
        event.heartbeats.forEach { heartbeat ->
            when {
                heartbeat.instanceId == self.id -> outlive(heartbeat)
                heartbeat.instanceId.startsWith(SERVER_PREFIX) ->
                    serverTable.onLeaving(
                        heartbeat.instanceId.removePrefix(SERVER_PREFIX),
                        nowMillis,
                    )
                else -> {
                    val direct = heartbeat.instanceId == event.from
                    instanceTable.onHeartbeat(heartbeat, direct, nowMillis)
                }
            }
        }
        if (!event.replyWanted) return emptyList()
        // The counter rises with each answer, or the answer to a probe would say nothing new.
        own = own.copy(counter = own.counter + 1)
        val reply = heartbeats(nowMillis)
        return listOf(
            MembershipEffect.SendDigest(event.from, reply, replyWanted = false, exchange = true)
        )
    }

    // A heartbeat from an earlier start with a later clock must not outrank this incarnation.
    private fun outlive(heartbeat: Heartbeat) {
        if (heartbeat.incarnation > own.incarnation) {
            own = own.copy(incarnation = heartbeat.incarnation + 1, counter = 1)
        }
    }

    // The domain is told at once, because its instances choose homes among themselves.
    private fun onLeave(): List<MembershipEffect> {
        own = own.copy(counter = own.counter + 1, leaving = true)
        return liveIn(self.failureDomain)
            .filter { it != self.id }
            .map { MembershipEffect.SendDigest(it, listOf(own), false, exchange = false) }
    }

    private fun leavingServers(): Set<String> =
        serverTable.all.filter { it.state == MemberState.LEAVING }.mapTo(HashSet()) { it.member.id }

    // Whichever instance reads the list first tells the home, which alone grants slots.
    private fun notice(serverId: String): MembershipEffect? {
        val home = homeOf(serverId)?.takeIf { it != self.id } ?: return null
        val heartbeat = Heartbeat(SERVER_PREFIX + serverId, 0, 0, leaving = true)
        return MembershipEffect.SendDigest(home, listOf(heartbeat), false, exchange = false)
    }

    private fun home(serverId: String, failureDomain: String): String? =
        RendezvousHash.highest(serverId, liveIn(failureDomain))

    private fun ownState() = if (own.leaving) MemberState.LEAVING else MemberState.LIVE

    private companion object {
        // A heartbeat with this prefix is a notice that a backend server is leaving.
        const val SERVER_PREFIX = "server/"
    }
}
