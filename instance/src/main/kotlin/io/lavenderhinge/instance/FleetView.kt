package io.lavenderhinge.instance

import io.lavenderhinge.adapters.HttpModelEngine
import io.lavenderhinge.core.membership.MemberState
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.instance.caller.socketAddress
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.rollout.RolloutServer

/** Combines membership and health into views for scheduling and rollouts. Control thread only. */
internal class FleetView(
    private val self: InstanceView,
    private val membership: MembershipService,
    private val health: HealthService,
    private val client: HttpClient,
) {
    /** Live instances, which are eligible as homes. */
    fun homeCandidates(): List<InstanceView> =
        membership
            .instances()
            .filter { it.state == MemberState.LIVE }
            .map { InstanceView(it.id, it.failureDomain) }
            // While the last instance of a fleet leaves, it remains home for its own requests.
            .ifEmpty { listOf(self) }

    /** Backend servers of the live list, with their health. */
    fun servers(): List<ServerView> = membership.servers().map { serverView(it.member) }

    /** Live backend servers of [target], across all versions. */
    fun rolloutServers(target: TeamTarget): List<RolloutServer> =
        servers()
            .filter { it.target == target.target && it.health.state == ServerState.LIVE }
            .map { RolloutServer(it.id, it.version, modelEngine(it)) }

    private fun modelEngine(server: ServerView) =
        if (server.target is Target.Model) HttpModelEngine(client, socketAddress(server.address))
        else null

    private fun serverView(member: ListedMember): ServerView {
        val isModel = member.kind == MemberKind.MODEL_ENGINE
        return ServerView(
            id = member.id,
            address = member.address,
            failureDomain = member.failureDomain,
            target = if (isModel) Target.Model(member.serves) else Target.Service(member.serves),
            version = member.version,
            health = health.health(member.id),
            hardwareGeneration = member.hardwareGeneration,
        )
    }
}
