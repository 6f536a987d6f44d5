package io.lavenderhinge.instance.caller

import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.TeamSettings
import io.lavenderhinge.core.settings.Workspace

/**
 * Context of a validated request.
 *
 * [requestId] is echoed to the caller. Backend servers receive [attemptId], which is unique across
 * the fleet, because two callers may send the same request ID.
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
