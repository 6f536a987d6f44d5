package io.lavenderhinge.core.membership

/** Derives the state of an instance from its heartbeats, its link and the live list. */
internal class InstanceFailureDetector(
    private val ownDomain: String,
    private val timings: MembershipTimings,
) {
    /**
     * Returns the state of [entry]. [domainHeardAtMillis] is when a heartbeat last arrived directly
     * from its failure domain.
     */
    fun stateOf(entry: InstanceEntry, domainHeardAtMillis: Long, nowMillis: Long): MemberState {
        val own = entry.failureDomain == ownDomain
        val silenceMillis = nowMillis - entry.lastHeartbeatMillis
        val domainSilenceMillis = if (own) 0 else nowMillis - domainHeardAtMillis
        val unlisted = entry.everListed && !entry.listed
        val linkLost = entry.linkLostAtMillis
        return when {
            silenceMillis >= timings.deadAfter(own) -> MemberState.DEAD
            // Peers relay the heartbeats of an unreachable domain for minutes; direct ones stop at
            // once.
            domainSilenceMillis >= timings.domainDeadMillis -> MemberState.DEAD
            unlisted && silenceMillis >= timings.unlistedDeadMillis -> MemberState.DEAD
            entry.leaving -> MemberState.LEAVING
            // A broken link without a later heartbeat is stronger evidence than missing heartbeats.
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
