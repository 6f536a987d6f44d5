package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.instance.operator.OperatorDataSource

/** Readiness, status and route explanations that a gateway serves on its operator port. */
internal class GatewayStatus(
    private val instanceId: String,
    private val configuration: ConfigurationHolder,
    private val servers: ServerRegistry,
    private val gate: ReadinessGate,
    private val regions: RegionTable,
    private val evacuations: EvacuationStatus,
    private val peerIds: () -> Set<String>,
    private val inFlight: () -> Int,
    private val quarantinedParts: () -> List<String>,
    private val quarantinedRequests: () -> List<String>,
) {
    /** Returns the view for the operator handler. */
    fun view() =
        OperatorDataSource(
            notReadyReason = ::notReadyReason,
            status = { status() },
            explain = { _, route, _ -> explain(route) },
        )

    private fun notReadyReason(): String? =
        if (gate.isOpen) null
        else "no configuration, list of backend servers or evacuation is known yet"

    private fun status(): Map<String, Any?> =
        mapOf(
            "instance" to instanceId,
            "configuration" to
                mapOf(
                    "version" to configuration.version,
                    "confirmed" to configuration.view().isConfirmed,
                ),
            "servers" to
                mapOf(
                    "revision" to servers.revision,
                    "watched" to !servers.isFollowingPeers,
                    "stale" to (servers.isStoreLost && !servers.isFollowingPeers),
                    "known" to servers.ids,
                ),
            "evacuations" to evacuations.fields(),
            "regions" to regions.entries,
            "peers" to peerIds().toList(),
            "quarantinedPromptParts" to quarantinedParts(),
            "quarantinedRequests" to quarantinedRequests(),
            "inFlight" to inFlight(),
        )

    private fun explain(routeName: String): Map<String, Any?> {
        val route =
            configuration.table?.config?.routes?.firstOrNull { it.name == routeName }
                ?: return mapOf("remedy" to "name a route of the configuration in force")
        return mapOf(
            "route" to route.name,
            "host" to route.host,
            "pathPrefix" to route.pathPrefix,
            "destinations" to route.destinations.associate { it.service to it.weight },
            "allowedRegions" to route.allowedRegions,
            "maxServers" to route.maxServers,
            "repeatable" to route.isRetryable,
        )
    }
}
