package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.MemberKind
import kotlin.random.Random

/** The local instance. [incarnation] is higher than that of any earlier start. */
data class LocalInstance(
    val id: String,
    val address: String,
    val failureDomain: String,
    val incarnation: Long,
)

/** An instance and its state, as exposed to other components. */
data class InstanceView(
    val id: String,
    val address: String,
    val failureDomain: String,
    val state: MemberState,
)

/**
 * Instances and backend servers as this instance sees them.
 *
 * [seeds] are the ids of the peers to contact while no other instance is known to be live.
 */
class MembershipTable(
    private val self: LocalInstance,
    seeds: List<String>,
    startedAtMillis: Long,
    private val random: Random,
    timings: MembershipTimings = MembershipTimings(),
) {
    private val instanceTable = InstanceTable(self.id, self.failureDomain, timings, random)
    private val serverTable = ServerTable(timings)
    private val heartbeatSelector = HeartbeatSelector(self.failureDomain, random)
    private val gossipPeers = GossipPeerSelector(self.failureDomain, seeds, random, startedAtMillis)
    private val listSchedule = LiveListPollSchedule(random, startedAtMillis)
    private var ownHeartbeat =
        Heartbeat(self.id, self.incarnation, 1, false, self.address, self.failureDomain)
    private var listSize = 0

    /** Why the last poll of the live list failed; null when it succeeded. */
    var listFault: String? = "the live list has not been read yet"
        private set

    /** All known instances including this one, in no particular order. */
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

    /** Failure domains whose known instances are all dead. */
    fun lostDomains(): Set<String> =
        instances
            .groupBy { it.failureDomain }
            .filterValues { all -> all.all { it.state == MemberState.DEAD } }
            .keys

    /** The home of backend server [serverId], which queues its requests; null if unknown. */
    fun homeOf(serverId: String): String? =
        serverTable[serverId]?.let { selectHome(serverId, it.member.failureDomain) }

    /** Heartbeats for a digest, with the time since each other domain was heard. */
    fun heartbeats(nowMillis: Long): List<Heartbeat> =
        heartbeatSelector.select(ownHeartbeat, instanceTable.all, nowMillis) +
            instanceTable.domainSilenceMillis(nowMillis).map { (domain, ageMillis) ->
                Heartbeat(DOMAIN_PREFIX + domain, 0, ageMillis / MILLIS_PER_SECOND, false)
            }

    /** Handles [event] and returns the resulting actions and state changes. */
    fun handle(event: MembershipEvent, nowMillis: Long): List<MembershipEffect> {
        val effects =
            when (event) {
                is MembershipEvent.Tick -> onTick(nowMillis)
                is MembershipEvent.ListFetched -> onList(event, nowMillis)
                is MembershipEvent.ListFailed -> onListFailed(event, nowMillis)
                is MembershipEvent.HeartbeatsReceived -> onHeartbeats(event, nowMillis)
                is MembershipEvent.LinkLost -> onLinkLost(event, nowMillis)
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
        val peers =
            gossipPeers.duePeers(instanceTable.all, nowMillis) + instanceTable.dueProbes(nowMillis)
        return fetch + exchanges(peers.distinct(), nowMillis)
    }

    private fun exchanges(peers: List<String>, nowMillis: Long): List<MembershipEffect> {
        if (peers.isEmpty()) return emptyList()
        ownHeartbeat = ownHeartbeat.copy(counter = ownHeartbeat.counter + 1)
        return peers.map {
            MembershipEffect.SendDigest(
                it,
                heartbeats(nowMillis),
                replyWanted = true,
                isGossipExchange = true,
            )
        }
    }

    private fun onList(
        event: MembershipEvent.ListFetched,
        nowMillis: Long,
    ): List<MembershipEffect> {
        listSize = event.members.size
        listSchedule.onResult(listSize, nowMillis)
        listFault = null
        val leavingBefore = leavingServers()
        instanceTable.onList(event.members.filter { it.kind == MemberKind.INSTANCE }, nowMillis)
        serverTable.onList(event.members)
        serverTable.refresh(nowMillis)
        return (leavingServers() - leavingBefore).mapNotNull(::leavingNotice)
    }

    private fun onListFailed(
        event: MembershipEvent.ListFailed,
        nowMillis: Long,
    ): List<MembershipEffect> {
        listSchedule.onResult(listSize, nowMillis)
        listFault = event.message
        return emptyList()
    }

    // Each notified peer probes the instance itself, so a false notice does no harm.
    private fun onLinkLost(
        event: MembershipEvent.LinkLost,
        nowMillis: Long,
    ): List<MembershipEffect> {
        val lost = instanceTable.onLinkLost(event.instanceId, nowMillis)
        val probes = exchanges(instanceTable.dueProbes(nowMillis), nowMillis)
        // Only peers of its own domain select it as a home and need to know immediately.
        if (lost == null || lost.failureDomain != self.failureDomain) return probes
        val notice = Heartbeat(SUSPECT_PREFIX + lost.id, lost.incarnation, 0, leaving = false)
        return probes +
            liveIn(lost.failureDomain)
                .filter { it != self.id && it != lost.id }
                .shuffled(random)
                .take(SUSPECT_NOTICE_FANOUT)
                .map {
                    MembershipEffect.SendDigest(it, listOf(notice), false, isGossipExchange = false)
                }
    }

    private fun probeTarget(notice: Heartbeat): String? {
        val entry = instanceTable[notice.instanceId.removePrefix(SUSPECT_PREFIX)] ?: return null
        val known = entry.linkLostAtMillis != null || entry.incarnation > notice.incarnation
        return entry.id.takeUnless { known || entry.state != MemberState.LIVE }
    }

    private fun onHeartbeats(
        event: MembershipEvent.HeartbeatsReceived,
        nowMillis: Long,
    ): List<MembershipEffect> {
        val probes = mutableListOf<String>()
        event.heartbeats.forEach { heartbeat ->
            when {
                heartbeat.instanceId == self.id -> refuteStaleIncarnation(heartbeat)
                heartbeat.instanceId.startsWith(SERVER_PREFIX) ->
                    serverTable.onLeaving(
                        heartbeat.instanceId.removePrefix(SERVER_PREFIX),
                        nowMillis,
                    )
                heartbeat.instanceId.startsWith(DOMAIN_PREFIX) ->
                    instanceTable.onDomainHeard(
                        heartbeat.instanceId.removePrefix(DOMAIN_PREFIX),
                        (heartbeat.counter + 1) * MILLIS_PER_SECOND,
                        nowMillis,
                    )
                heartbeat.instanceId.startsWith(SUSPECT_PREFIX) ->
                    probeTarget(heartbeat)?.let(probes::add)
                else -> {
                    val direct = heartbeat.instanceId == event.from
                    instanceTable.onHeartbeat(heartbeat, direct, nowMillis)
                }
            }
        }
        if (!event.replyWanted) return exchanges(probes, nowMillis)
        // The counter increases with each reply; otherwise the reply to a probe would be dropped as
        // stale.
        ownHeartbeat = ownHeartbeat.copy(counter = ownHeartbeat.counter + 1)
        val reply = heartbeats(nowMillis)
        return listOf(
            MembershipEffect.SendDigest(
                event.from,
                reply,
                replyWanted = false,
                isGossipExchange = true,
            )
        )
    }

    // An earlier start whose clock ran ahead had a higher incarnation; this one must supersede it.
    private fun refuteStaleIncarnation(heartbeat: Heartbeat) {
        if (heartbeat.incarnation > ownHeartbeat.incarnation) {
            ownHeartbeat = ownHeartbeat.copy(incarnation = heartbeat.incarnation + 1, counter = 1)
        }
    }

    // Notifies the domain immediately, because its instances select homes among themselves.
    private fun onLeave(): List<MembershipEffect> {
        ownHeartbeat = ownHeartbeat.copy(counter = ownHeartbeat.counter + 1, leaving = true)
        return liveIn(self.failureDomain)
            .filter { it != self.id }
            .map {
                MembershipEffect.SendDigest(
                    it,
                    listOf(ownHeartbeat),
                    false,
                    isGossipExchange = false,
                )
            }
    }

    private fun leavingServers(): Set<String> =
        serverTable.all.filter { it.state == MemberState.LEAVING }.mapTo(HashSet()) { it.member.id }

    // The first instance to see this in the live list notifies the home, which alone grants slots.
    private fun leavingNotice(serverId: String): MembershipEffect? {
        val home = homeOf(serverId)?.takeIf { it != self.id } ?: return null
        val heartbeat = Heartbeat(SERVER_PREFIX + serverId, 0, 0, leaving = true)
        return MembershipEffect.SendDigest(home, listOf(heartbeat), false, isGossipExchange = false)
    }

    private fun selectHome(serverId: String, failureDomain: String): String? =
        RendezvousHash.highest(serverId, liveIn(failureDomain))

    private fun ownState() = if (ownHeartbeat.leaving) MemberState.LEAVING else MemberState.LIVE

    private companion object {
        // Each hop takes the 2 s after which a link counts as silent; a fanout of 8 reaches 64
        // instances in two hops.
        const val SUSPECT_NOTICE_FANOUT = 8

        // A heartbeat with this prefix carries the seconds since a domain was heard directly. An
        // age needs no synchronised clocks; the receiver adds a second, so that it is not relayed
        // forever.
        const val DOMAIN_PREFIX = "domain/"
        const val MILLIS_PER_SECOND = 1_000L

        // A heartbeat with this prefix asks its receiver to probe an instance.
        const val SUSPECT_PREFIX = "suspect/"

        // A heartbeat with this prefix is a notice that a backend server is leaving.
        const val SERVER_PREFIX = "server/"
    }
}
