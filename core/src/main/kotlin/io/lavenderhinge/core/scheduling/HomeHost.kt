package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.limit.EngineLimit
import io.lavenderhinge.core.limit.ServiceLimit
import io.lavenderhinge.core.settings.Target

/** Runs the homes that are assigned to the instance [selfId]. */
class HomeHost(
    private val selfId: String,
    private val settings: HomeSettings = HomeSettings(),
    private val invariants: Invariants = Invariants(),
    private val limitFor: (ServerView) -> AdaptiveLimit = ::defaultLimit,
) {
    private val directory = HomeDirectory()
    private val homes = LinkedHashMap<String, Home>()
    private var servers: Map<String, ServerView> = emptyMap()
    private var isClosed = false

    val hostedServerIds: Set<String>
        get() = homes.keys.toSet()

    fun home(serverId: String): Home? = homes[serverId]

    /** Opens and closes homes when the live instances or backend servers change. */
    fun viewChanged(
        instances: List<InstanceView>,
        newServers: List<ServerView>,
        nowMillis: Long,
    ): List<HomeMessage> {
        val healthBefore = servers.mapValues { it.value.health }
        servers = newServers.associateBy { it.id }
        directory.viewChanged(instances, newServers, nowMillis)
        val messages = ArrayList(updateHomes(nowMillis))
        for ((serverId, home) in homes) {
            val health = servers.getValue(serverId).health
            if (health == healthBefore[serverId]) continue
            messages += home.handle(HomeEvent.ServerChanged(health), nowMillis).of(serverId)
        }
        return messages
    }

    /** Handles [event] for [serverId]. Refuses grant requests if this instance is not its home. */
    fun handle(serverId: String, event: HomeEvent, nowMillis: Long): List<HomeMessage> {
        val home = homes[serverId]
        if (home != null) return home.handle(event, nowMillis).of(serverId)
        if (event !is HomeEvent.Requested) return emptyList()
        val reason = if (isClosed) RefusalReason.SHUTDOWN else RefusalReason.NOT_HOME
        return listOf(
                HomeEffect.Refuse(event.request.entryId, event.request.grantRequestId, reason, 0, 0)
            )
            .of(serverId)
    }

    /** Handles a broken link to an instance, which may be an entry, a home or both. */
    fun linkLost(instanceId: String, nowMillis: Long): List<HomeMessage> {
        val messages = ArrayList<HomeMessage>()
        for ((serverId, home) in homes) {
            messages += home.handle(HomeEvent.LinkLost(instanceId), nowMillis).of(serverId)
        }
        if (instanceId != selfId) directory.linkLost(instanceId, nowMillis)
        return messages + updateHomes(nowMillis)
    }

    /** Handles summaries of other homes: tiers closed by one are closed for its whole target. */
    fun summariesReceived(summaries: List<HomeSummary>, nowMillis: Long): List<HomeMessage> {
        val messages = ArrayList<HomeMessage>()
        for (summary in summaries) {
            if (summary.lowestOpenTier == Tier.BATCH) continue
            val target = servers[summary.serverId]?.target ?: continue
            val event =
                HomeEvent.PoolTierChanged(
                    summary.lowestOpenTier,
                    nowMillis + settings.tierClosedMillis,
                )
            for ((serverId, home) in homes) {
                if (serverId == summary.serverId || servers[serverId]?.target != target) continue
                messages += home.handle(event, nowMillis).of(serverId)
            }
        }
        return messages
    }

    fun tick(nowMillis: Long): List<HomeMessage> {
        val messages = ArrayList<HomeMessage>()
        if (directory.tick(nowMillis)) messages += updateHomes(nowMillis)
        for ((serverId, home) in homes) {
            messages += home.handle(HomeEvent.Tick, nowMillis).of(serverId)
        }
        return messages
    }

    fun summaries(nowMillis: Long): List<HomeSummary> = homes.values.map { it.summary(nowMillis) }

    /** Refuses all queued requests. */
    fun close(nowMillis: Long): List<HomeMessage> {
        isClosed = true
        return homes.keys.toList().flatMap { closeHome(it, RefusalReason.SHUTDOWN, nowMillis) }
    }

    private fun updateHomes(nowMillis: Long): List<HomeMessage> {
        if (isClosed) return emptyList()
        val own = servers.keys.filter { directory.homeOf(it) == selfId }.toSet()
        for (serverId in own) homes.getOrPut(serverId) { createHome(servers.getValue(serverId)) }
        return homes.keys
            .filter { it !in own }
            .flatMap { closeHome(it, RefusalReason.NOT_HOME, nowMillis) }
    }

    private fun createHome(server: ServerView): Home =
        Home(server.id, limitFor(server), settings, invariants, server.health)

    private fun closeHome(serverId: String, reason: RefusalReason, nowMillis: Long) =
        homes.remove(serverId)?.handle(HomeEvent.Closed(reason), nowMillis).orEmpty().of(serverId)

    private fun List<HomeEffect>.of(serverId: String) = map { HomeMessage(serverId, it) }

    private companion object {
        fun defaultLimit(server: ServerView): AdaptiveLimit =
            when (server.target) {
                is Target.Model -> EngineLimit()
                is Target.Service -> ServiceLimit()
            }
    }
}
