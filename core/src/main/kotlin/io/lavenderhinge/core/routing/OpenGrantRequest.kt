package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.GrantRequest

/** A grant request that its home has neither granted nor refused. */
internal class OpenGrantRequest(
    val request: GrantRequest,
    val serverId: String,
    val homeId: String,
    val sentAtMillis: Long,
) {
    /** Expected wait reported by the home, or null before its first answer. */
    var queuedWaitMillis: Long? = null

    /** True if the home did not answer in time; another home is tried in the meantime. */
    var isTimedOut = false
}
