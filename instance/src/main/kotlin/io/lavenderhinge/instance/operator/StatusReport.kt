package io.lavenderhinge.instance.operator

import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.settings.Route
import io.lavenderhinge.core.settings.Workspace
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.rollout.RolloutService
import io.lavenderhinge.instance.scheduling.HomeSlotService
import io.lavenderhinge.instance.settings.SettingsService
import kotlinx.coroutines.withContext

/** Collects the state of this instance for `/status` and `/explain`. */
internal class StatusReport(
    private val instanceId: String,
    private val failureDomain: String,
    private val control: ControlThread,
    private val settings: SettingsService,
    private val membership: MembershipService,
    private val health: HealthService,
    private val slots: HomeSlotService,
    private val rollouts: RolloutService,
    private val quarantinedParts: () -> List<String>,
    private val inFlightCount: () -> Int,
) {
    /** Body of `/status`. */
    suspend fun status(): Map<String, Any?> =
        withContext(control.scope.coroutineContext) {
            mapOf(
                "instance" to instanceId,
                "failureDomain" to failureDomain,
                "inFlight" to inFlightCount(),
                "settings" to settings.current().teams.mapValues { it.value.revision },
                "rejectedSettings" to settings.rejected(),
                "rollouts" to rollouts.statements(),
                "instances" to
                    membership.instances().associate { it.id to it.state.name.lowercase() },
                "lostFailureDomains" to membership.lostDomains(),
                "liveListFault" to membership.listFault(),
                "backendServers" to health.states(),
                "homes" to slots.homes(),
                "quarantinedPromptParts" to quarantinedParts(),
                "invariantViolations" to slots.invariantViolations,
            )
        }

    /** Body of `/explain`. */
    suspend fun explain(team: String, route: String, workspace: String): Map<String, Any?> =
        withContext(control.scope.coroutineContext) {
            val routeSettings =
                settings.current().teams[team]?.routes?.firstOrNull { it.name == route }
            val workspaceSettings =
                settings.current().teams[team]?.workspaces?.firstOrNull { it.id == workspace }
            when {
                routeSettings == null ->
                    mapOf("remedy" to "no route $route of team $team is in force")
                workspaceSettings == null ->
                    mapOf("remedy" to "no workspace $workspace of team $team is in force")
                else -> describeRoute(team, routeSettings, workspaceSettings)
            }
        }

    private fun describeRoute(team: String, route: Route, workspace: Workspace): Map<String, Any?> {
        val version = rollouts.versionFor(TeamTarget(team, route.target), "explain")
        val request =
            SlotRequest(
                requestId = "explain",
                target = route.target,
                version = version.orEmpty(),
                tier = route.tier,
                workspace = workspace.id,
                weight = workspace.weight,
                deadlineMillis = control.nowMillis() + route.deadlineMillis,
            )
        return mapOf(
            "path" to route.path,
            "target" to route.target.name,
            "version" to version,
            "tier" to route.tier.name.lowercase(),
            "weight" to workspace.weight,
            "idempotent" to route.idempotent,
            "deadlineMillis" to route.deadlineMillis,
            "backendServers" to slots.explain(request),
        )
    }
}
