package io.lavenderhinge.instance.caller

import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.core.settings.Workspace

/**
 * A request that passed the checks at the entry.
 *
 * [requestId] is echoed to the caller; [attemptId] is unique in the fleet and is what backend
 * servers see, since two callers may send the same request id.
 */
data class RequestContext(
    val requestId: String,
    val attemptId: String,
    val team: TeamSettings,
    val workspace: Workspace,
    val route: Route,
    val receivedMillis: Long,
    val deadlineMillis: Long,
)
