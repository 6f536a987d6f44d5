package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember
import kotlin.random.Random

/** The other instances, from the lagging list joined with heartbeats and broken links. */
internal class InstanceTable(
    private val selfId: String,
    private val ownDomain: String,
    private val timings: MembershipTimings,
    private val random: Random,
) {
    private val failureDetector = InstanceFailureDetector(ownDomain, timings)
    private val entries = LinkedHashMap<String, InstanceEntry>()

    // Incarnation that was known when the list began to call a member leaving.
    private val incarnationsListedLeaving = HashMap<String, Long>()

    // When an instance of this domain last heard one of another domain directly.
    private val domainHeardAtMillis = HashMap<String, Long>()

    val all: Collection<InstanceEntry>
        get() = entries.values

    operator fun get(id: String): InstanceEntry? = entries[id]

    /** Joins the instances of the list; absence from a lagging list proves nothing. */
    fun onList(members: List<ListedMember>, nowMillis: Long) {
        val ids = members.mapTo(HashSet()) { it.id }
        entries.replaceAll { id, entry -> entry.copy(listed = id in ids) }
        members.filter { it.id != selfId }.forEach { onListed(it, nowMillis) }
    }

    /**
     * Joins a heartbeat, [direct] when its instance sent it itself. Returns false when it says
     * nothing new or nothing that can be used.
     */
    fun onHeartbeat(heartbeat: Heartbeat, direct: Boolean, nowMillis: Long): Boolean {
        val entry = entries[heartbeat.instanceId]
        if (entry == null) {
            if (heartbeat.failureDomain.isEmpty()) return false
            entries[heartbeat.instanceId] = created(heartbeat, nowMillis)
            return true
        }
        if (direct) onDomainHeard(entry.failureDomain, ageMillis = 0, nowMillis)
        if (!heartbeat.isAfter(entry.incarnation, entry.counter)) return false
        val restarted = heartbeat.incarnation > entry.incarnation
        // A relayed heartbeat may be older than the loss of the link; only a direct one refutes it.
        // Instances of other domains are seldom spoken to directly.
        val remote = entry.failureDomain != ownDomain
        val linkLostAtMillis = entry.linkLostAtMillis.takeUnless { direct || restarted || remote }
        entries[entry.id] =
            entry.copy(
                address = heartbeat.address.ifEmpty { entry.address },
                failureDomain = heartbeat.failureDomain.ifEmpty { entry.failureDomain },
                incarnation = heartbeat.incarnation,
                counter = heartbeat.counter,
                leaving = heartbeat.leaving || entry.leaving && !restarted,
                lastHeartbeatMillis = nowMillis,
                linkLostAtMillis = linkLostAtMillis,
                rejoinAtMillis = rejoinAt(entry, nowMillis),
            )
        return true
    }

    /** The link to [id] broke. Returns its entry when that is new, else null. */
    fun onLinkLost(id: String, nowMillis: Long): InstanceEntry? {
        val entry = entries[id] ?: return null
        if (entry.linkLostAtMillis != null || entry.state == MemberState.DEAD) return null
        entries[id] = entry.copy(linkLostAtMillis = nowMillis, nextProbeAtMillis = nowMillis)
        return entry
    }

    /** Age of the last direct sign of each other domain. */
    fun domainSilenceMillis(nowMillis: Long): Map<String, Long> =
        domainHeardAtMillis.mapValues { nowMillis - it.value }

    /** An instance of this or another domain heard [domain] directly [ageMillis] ago. */
    fun onDomainHeard(domain: String, ageMillis: Long, nowMillis: Long) {
        if (domain != ownDomain) domainHeardAtMillis.merge(domain, nowMillis - ageMillis, ::maxOf)
    }

    /** Instances behind broken links that are to be asked directly now. */
    fun dueProbes(nowMillis: Long): List<String> {
        val due =
            entries.values
                .filter { it.failureDomain == ownDomain }
                .filter { it.linkLostAtMillis != null && nowMillis >= it.nextProbeAtMillis }
        due.forEach {
            // Probes of an instance that stays silent become as rare as other gossip.
            val silenceMillis = nowMillis - (it.linkLostAtMillis ?: nowMillis)
            val waitMillis = maxOf(timings.probeMillis, silenceMillis)
            entries[it.id] = it.copy(nextProbeAtMillis = nowMillis + waitMillis)
        }
        return due.map { it.id }
    }

    /** Applies the rule to every entry, forgets old ones and returns what changed. */
    fun refresh(nowMillis: Long): List<MembershipEffect> {
        entries.values.removeIf {
            !it.listed && nowMillis - it.lastHeartbeatMillis >= timings.removeAfterMillis
        }
        val changes = mutableListOf<MembershipEffect>()
        entries.values.forEach { domainHeardAtMillis.putIfAbsent(it.failureDomain, nowMillis) }
        entries.replaceAll { id, entry ->
            val state =
                failureDetector.stateOf(
                    entry,
                    domainHeardAtMillis.getValue(entry.failureDomain),
                    nowMillis,
                )
            if (state == entry.state) return@replaceAll entry
            changes += MembershipEffect.InstanceChanged(id, entry.state, state)
            entry.copy(state = state)
        }
        return changes
    }

    private fun onListed(member: ListedMember, nowMillis: Long) {
        val known = entries[member.id]
        val entry = known ?: created(member, nowMillis)
        if (!member.leaving) incarnationsListedLeaving.remove(member.id)
        val leavingIncarnation =
            if (member.leaving) incarnationsListedLeaving.getOrPut(member.id) { entry.incarnation }
            else null
        // The list lags: its flag does not hold for an incarnation that began after it.
        val leaving = leavingIncarnation != null && entry.incarnation <= leavingIncarnation
        entries[member.id] =
            entry.copy(
                address = member.address,
                failureDomain = member.failureDomain,
                leaving = entry.leaving || leaving,
                listed = true,
                everListed = true,
            )
    }

    // After a partition the members of a lost domain are admitted one by one, not all at once.
    private fun rejoinAt(entry: InstanceEntry, nowMillis: Long): Long =
        if (entry.state != MemberState.DEAD || entry.failureDomain == ownDomain)
            entry.rejoinAtMillis
        else nowMillis + random.nextLong(timings.rejoinJitterMillis)

    private fun created(member: ListedMember, nowMillis: Long) =
        InstanceEntry(
            member.id,
            member.address,
            member.failureDomain,
            firstSeenMillis = nowMillis,
            lastHeartbeatMillis = nowMillis,
        )

    private fun created(heartbeat: Heartbeat, nowMillis: Long) =
        InstanceEntry(
            heartbeat.instanceId,
            heartbeat.address,
            heartbeat.failureDomain,
            firstSeenMillis = nowMillis,
            lastHeartbeatMillis = nowMillis,
            incarnation = heartbeat.incarnation,
            counter = heartbeat.counter,
            leaving = heartbeat.leaving,
            state = if (heartbeat.leaving) MemberState.LEAVING else MemberState.LIVE,
        )
}
