package io.lavenderhinge.core.membership

/** Derives the state of an instance from the evidence on it. */
internal class InstanceFailureDetector(
    private val ownDomain: String,
    private val timings: MembershipTimings,
) {
    /** [domainHeardAtMillis] is when the entry's domain was last heard directly. */
    fun stateOf(entry: InstanceEntry, domainHeardAtMillis: Long, nowMillis: Long): MemberState {
        val own = entry.failureDomain == ownDomain
        val silenceMillis = nowMillis - entry.lastHeartbeatMillis
        val domainSilenceMillis = if (own) 0 else nowMillis - domainHeardAtMillis
        val unlisted = entry.everListed && !entry.listed
        val linkLost = entry.linkLostAtMillis
        return when {
            silenceMillis >= timings.deadAfter(own) -> MemberState.DEAD
            // Relayed heartbeats of a lost domain go round for minutes; direct signs end with it.
            domainSilenceMillis >= timings.domainDeadMillis -> MemberState.DEAD
            unlisted && silenceMillis >= timings.unlistedDeadMillis -> MemberState.DEAD
            entry.leaving -> MemberState.LEAVING
            // A broken link with no sign since is stronger than silence alone.
            linkLost != null && nowMillis - linkLost >= timings.linkLostDeadMillis ->
                MemberState.DEAD
            linkLost != null -> MemberState.SUSPECT
            domainSilenceMillis >= timings.domainSuspectMillis -> MemberState.SUSPECT
            silenceMillis >= timings.suspectAfter(own) -> MemberState.SUSPECT
            nowMillis < entry.rejoinAtMillis -> MemberState.SUSPECT
            else -> MemberState.LIVE
        }
    }
}
