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

/** Joins membership and health into the views that other parts decide on. Control thread only. */
internal class FleetView(
    private val self: InstanceView,
    private val membership: MembershipService,
    private val health: HealthService,
    private val client: HttpClient,
) {
    /** Instances that can be homes. */
    fun homeCandidates(): List<InstanceView> =
        membership
            .instances()
            .filter { it.state == MemberState.LIVE }
            .map { InstanceView(it.id, it.failureDomain) }
            // The last instance of a fleet stays home for its own requests while it leaves.
            .ifEmpty { listOf(self) }

    /** Listed backend servers with their health. */
    fun servers(): List<ServerView> = membership.servers().map { serverView(it.member) }

    /** Live backend servers of [target], of every version. */
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
