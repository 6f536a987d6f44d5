package io.lavenderhinge.core.membership

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind

/** Backend servers, merged from the live list (which lags), local observations and notices. */
internal class ServerTable(private val timings: MembershipTimings) {
    private data class Entry(
        val member: ListedMember,
        val drainingSinceMillis: Long? = null,
        val lastUnreachableMillis: Long? = null,
        val failures: Int = 0,
        val state: MemberState = MemberState.LIVE,
    )

    private val entries = LinkedHashMap<String, Entry>()

    val all: List<ServerView>
        get() = entries.values.map { ServerView(it.member, it.state) }

    operator fun get(id: String): ServerView? = entries[id]?.let { ServerView(it.member, it.state) }

    /** Replaces the list; servers that are no longer listed are removed. */
    fun onList(members: List<ListedMember>) {
        val servers = members.filter { it.kind != MemberKind.INSTANCE }
        val ids = servers.mapTo(HashSet()) { it.id }
        entries.keys.retainAll(ids)
        servers.forEach { member ->
            val entry = entries[member.id] ?: Entry(member)
            // A server that returns after draining is listed with another address or version;
            // its earlier observations no longer apply.
            val same = entry.member.copy(leaving = member.leaving) == member
            entries[member.id] = if (same) entry.copy(member = member) else Entry(member)
        }
    }

    /** Records a report of another instance or of the server that [id] is leaving. */
    fun onLeaving(id: String, nowMillis: Long) {
        entries[id]?.let { entries[id] = it.copy(drainingSinceMillis = nowMillis) }
    }

    /** Records the result of a call to [id]. */
    fun onObservation(id: String, observation: ServerObservation, nowMillis: Long) {
        val entry = entries[id] ?: return
        entries[id] =
            when (observation) {
                ServerObservation.SERVED ->
                    entry.copy(
                        drainingSinceMillis = null,
                        lastUnreachableMillis = null,
                        failures = 0,
                    )
                ServerObservation.DRAINING -> entry.copy(drainingSinceMillis = nowMillis)
                ServerObservation.UNREACHABLE ->
                    entry.copy(lastUnreachableMillis = nowMillis, failures = entry.failures + 1)
            }
    }

    /** Re-evaluates every entry and returns the state changes. */
    fun refresh(nowMillis: Long): List<MembershipEffect> {
        val changes = mutableListOf<MembershipEffect>()
        entries.replaceAll { id, entry ->
            val state = state(entry, nowMillis)
            if (state != entry.state) {
                changes += MembershipEffect.ServerChanged(id, entry.state, state)
            }
            entry.copy(state = state)
        }
        return changes
    }

    private fun state(entry: Entry, nowMillis: Long): MemberState {
        val failedMillis = entry.lastUnreachableMillis
        val drainingSinceMillis = entry.drainingSinceMillis
        // By then the live list has caught up; a server that did not leave gets requests again.
        val draining =
            drainingSinceMillis != null &&
                nowMillis - drainingSinceMillis < timings.drainingHoldMillis
        val inProbation =
            failedMillis != null && nowMillis - failedMillis < timings.serverProbationMillis
        return when {
            entry.member.leaving || draining -> MemberState.LEAVING
            !inProbation -> MemberState.LIVE
            // The first failure already stops new requests; a second rules out a single lost
            // packet.
            entry.failures > 1 -> MemberState.DEAD
            else -> MemberState.SUSPECT
        }
    }
}
