package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember
import kotlin.random.Random

/** Remote instances, merged from the live list (which lags), heartbeats and broken links. */
internal class InstanceTable(
    private val selfId: String,
    private val ownDomain: String,
    private val timings: MembershipTimings,
    private val random: Random,
) {
    private val failureDetector = InstanceFailureDetector(ownDomain, timings)
    private val entries = LinkedHashMap<String, InstanceEntry>()

    // Incarnation known when the live list first reported a member as leaving.
    private val incarnationsListedLeaving = HashMap<String, Long>()

    // When an instance last received a heartbeat directly from each other domain.
    private val domainHeardAtMillis = HashMap<String, Long>()

    val all: Collection<InstanceEntry>
        get() = entries.values

    operator fun get(id: String): InstanceEntry? = entries[id]

    /** Merges the live list. It lags, so an instance missing from it may still be live. */
    fun onList(members: List<ListedMember>, nowMillis: Long) {
        val ids = members.mapTo(HashSet()) { it.id }
        entries.replaceAll { id, entry -> entry.copy(listed = id in ids) }
        members.filter { it.id != selfId }.forEach { onListed(it, nowMillis) }
    }

    /**
     * Merges a heartbeat; [direct] when it came from its instance and not from a relay. Returns
     * false when it is stale, or when it introduces an instance without its failure domain.
     */
    fun onHeartbeat(heartbeat: Heartbeat, direct: Boolean, nowMillis: Long): Boolean {
        val entry = entries[heartbeat.instanceId]
        if (entry == null) {
            if (heartbeat.failureDomain.isEmpty()) return false
            entries[heartbeat.instanceId] = newEntry(heartbeat, nowMillis)
            return true
        }
        if (direct) onDomainHeard(entry.failureDomain, ageMillis = 0, nowMillis)
        if (!heartbeat.isAfter(entry.incarnation, entry.counter)) return false
        val restarted = heartbeat.incarnation > entry.incarnation
        // A relayed heartbeat may predate the loss of the link, so only a direct one clears it.
        // Instances of other domains are rarely contacted directly, so a relayed one is enough.
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

    /**
     * Records that the link to [id] broke. Returns its entry, or null when the instance is unknown,
     * dead or already marked.
     */
    fun onLinkLost(id: String, nowMillis: Long): InstanceEntry? {
        val entry = entries[id] ?: return null
        if (entry.linkLostAtMillis != null || entry.state == MemberState.DEAD) return null
        entries[id] = entry.copy(linkLostAtMillis = nowMillis, nextProbeAtMillis = nowMillis)
        return entry
    }

    /** Time since the last direct heartbeat of each other domain. */
    fun domainSilenceMillis(nowMillis: Long): Map<String, Long> =
        domainHeardAtMillis.mapValues { nowMillis - it.value }

    /** Records that an instance received a direct heartbeat of [domain] [ageMillis] ago. */
    fun onDomainHeard(domain: String, ageMillis: Long, nowMillis: Long) {
        if (domain != ownDomain) domainHeardAtMillis.merge(domain, nowMillis - ageMillis, ::maxOf)
    }

    /** Returns the instances with a broken link that are due for a direct probe. */
    fun dueProbes(nowMillis: Long): List<String> {
        val due =
            entries.values
                .filter { it.failureDomain == ownDomain }
                .filter { it.linkLostAtMillis != null && nowMillis >= it.nextProbeAtMillis }
        due.forEach {
            // Backs off while the instance is silent, until probes are as rare as other gossip.
            val silenceMillis = nowMillis - (it.linkLostAtMillis ?: nowMillis)
            val waitMillis = maxOf(timings.probeMillis, silenceMillis)
            entries[it.id] = it.copy(nextProbeAtMillis = nowMillis + waitMillis)
        }
        return due.map { it.id }
    }

    /** Re-evaluates every entry, removes expired ones and returns the state changes. */
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
        val entry = known ?: newEntry(member, nowMillis)
        if (!member.leaving) incarnationsListedLeaving.remove(member.id)
        val leavingIncarnation =
            if (member.leaving) incarnationsListedLeaving.getOrPut(member.id) { entry.incarnation }
            else null
        // The list lags: its leaving flag does not apply to an incarnation that started later.
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

    // Spreads the return of a domain's instances after a partition, so that they do not all become
    // live at once.
    private fun rejoinAt(entry: InstanceEntry, nowMillis: Long): Long =
        if (entry.state != MemberState.DEAD || entry.failureDomain == ownDomain)
            entry.rejoinAtMillis
        else nowMillis + random.nextLong(timings.rejoinJitterMillis)

    private fun newEntry(member: ListedMember, nowMillis: Long) =
        InstanceEntry(
            member.id,
            member.address,
            member.failureDomain,
            firstSeenMillis = nowMillis,
            lastHeartbeatMillis = nowMillis,
        )

    private fun newEntry(heartbeat: Heartbeat, nowMillis: Long) =
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
