package io.lavenderhinge.core.forwarding

/** How an instance came to know the fleet, or that it did not. */
enum class FleetEvidence {
    /** The store lists this run of the instance, hence all peers that registered before it. */
    OWN_REGISTRATION,
    /** A peer that has been running for longer than a start takes has reported. */
    RUNNING_PEER,
    /** Neither within the time that a start may take. */
    NONE,
}

/** The end of a start, for the log. */
data class QuotaStartEnd(
    val evidence: FleetEvidence,
    /** Time since quotas had to be enforced. */
    val durationMillis: Long,
    val peers: Int,
    /** Number of peers whose usage is assumed. */
    val unreportedPeers: Int,
    /** Time since the report of the peer that reported longest ago; null without reports. */
    val oldestReportMillis: Long?,
)

/**
 * The time after the start of an instance in which it may not know its peers or their usage. It
 * ends when it knows both, but [maxMillis] after the first quota that had to be enforced at the
 * latest, so that an instance without store and peers serves what the quotas allow.
 */
class QuotaStart(private val maxMillis: Long = 0) {
    private var begunMillis: Long? = null
    private var evidence = FleetEvidence.NONE
    private var end: QuotaStartEnd? = null

    /** Called once at the end. */
    var onEnd: (QuotaStartEnd) -> Unit = {}

    internal val isOngoing: Boolean
        get() = maxMillis > 0 && end == null

    /** True if this instance knows how many instances share the quotas, or has to assume it. */
    internal val isFleetKnown: Boolean
        get() = evidence != FleetEvidence.NONE || !isOngoing

    /** Called when a list of instances that contains this run of the instance has been read. */
    internal fun onListed() {
        if (evidence == FleetEvidence.NONE) evidence = FleetEvidence.OWN_REGISTRATION
    }

    internal fun onPeerReport(report: QuotaReport) {
        if (evidence != FleetEvidence.NONE || report.peerAgeMillis <= maxMillis) return
        evidence = FleetEvidence.RUNNING_PEER
    }

    internal fun update(peers: QuotaPeers, nowMillis: Long) {
        if (!isOngoing) return
        val durationMillis = nowMillis - (begunMillis ?: nowMillis.also { begunMillis = it })
        val isSettled = evidence != FleetEvidence.NONE && !peers.hasUnreported
        if (!isSettled && durationMillis < maxMillis) return
        val ended =
            QuotaStartEnd(
                evidence,
                durationMillis,
                peers.count,
                peers.unreportedCount,
                peers.oldestReportMillis(nowMillis),
            )
        end = ended
        onEnd(ended)
    }
}
