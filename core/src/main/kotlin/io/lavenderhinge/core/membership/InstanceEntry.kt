package io.lavenderhinge.core.membership

/** State of one remote instance. Timestamps are those of the local clock. */
internal data class InstanceEntry(
    val id: String,
    val address: String,
    val failureDomain: String,
    val firstSeenMillis: Long,
    val lastHeartbeatMillis: Long,
    val incarnation: Long = 0,
    val counter: Long = 0,
    val leaving: Boolean = false,
    val listed: Boolean = false,
    val everListed: Boolean = false,
    val linkLostAtMillis: Long? = null,
    val nextProbeAtMillis: Long = 0,
    val rejoinAtMillis: Long = 0,
    val state: MemberState = MemberState.LIVE,
)
