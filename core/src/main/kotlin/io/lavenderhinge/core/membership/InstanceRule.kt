package io.lavenderhinge.core.membership

/** Derives the state of an instance from the evidence on it. */
internal class InstanceRule(private val ownDomain: String, private val timings: MembershipTimings) {
    fun state(entry: InstanceEntry, nowMillis: Long): MemberState {
        val own = entry.failureDomain == ownDomain
        val silenceMillis = nowMillis - entry.lastSignMillis
        val linkLost = entry.linkLostMillis
        return when {
            silenceMillis >= timings.deadAfter(own) -> MemberState.DEAD
            entry.leaving -> MemberState.LEAVING
            // A broken link with no sign since is stronger than silence alone.
            linkLost != null && nowMillis - linkLost >= timings.linkLostDeadMillis ->
                MemberState.DEAD
            linkLost != null -> MemberState.SUSPECT
            silenceMillis >= timings.suspectAfter(own) -> MemberState.SUSPECT
            nowMillis < entry.admitMillis -> MemberState.SUSPECT
            else -> MemberState.LIVE
        }
    }
}
