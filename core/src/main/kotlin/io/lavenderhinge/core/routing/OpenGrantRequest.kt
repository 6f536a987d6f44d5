package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.GrantRequest

/** An ask that its home has neither granted nor refused. */
internal class OpenGrantRequest(
    val request: GrantRequest,
    val serverId: String,
    val homeId: String,
    val sentAtMillis: Long,
) {
    /** Wait told by the home, or null before its first answer. */
    var queuedWaitMillis: Long? = null

    /** Set when the home did not answer in time; another home is asked meanwhile. */
    var isTimedOut = false
}
