package io.lavenderhinge.core.membership

/** What the table knows of one instance other than itself. Times are those of the observer. */
internal data class InstanceEntry(
    val id: String,
    val address: String,
    val failureDomain: String,
    val knownSinceMillis: Long,
    val lastSignMillis: Long,
    val incarnation: Long = 0,
    val counter: Long = 0,
    val leaving: Boolean = false,
    val listed: Boolean = false,
    val wasListed: Boolean = false,
    val linkLostMillis: Long? = null,
    val nextProbeMillis: Long = 0,
    val admitMillis: Long = 0,
    val state: MemberState = MemberState.LIVE,
)
