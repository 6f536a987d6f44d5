package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.PrefixHashSampling
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Target

/** Scores the known backend servers and selects the one whose home is tried next. */
internal class ServerSelection(
    private val ownDomain: String,
    private val settings: RoutingSettings,
) {
    private data class Pool(val target: Target, val version: String)

    private val statsById = HashMap<String, ServerStats>()
    private var pools: Map<Pool, List<ServerStats>> = emptyMap()
    val prefixes = PrefixIndex()

    operator fun get(serverId: String): ServerStats? = statsById[serverId]

    fun viewChanged(servers: List<ServerView>) {
        statsById.keys.retainAll(servers.map { it.id }.toSet())
        prefixes.retain(statsById.keys)
        for (server in servers) statsById.getOrPut(server.id) { ServerStats(server) }.view = server
        pools = statsById.values.groupBy { Pool(it.view.target, it.view.version) }
    }

    /** Live backend servers for [request], in no particular order. */
    fun live(request: SlotRequest): List<ServerStats> =
        pools[Pool(request.target, request.version)].orEmpty().filter {
            it.view.health.state == ServerState.LIVE &&
                (request.onlyServerId == null || request.onlyServerId == it.view.id)
        }

    /** The backend server with the lowest score whose home was not tried in this round. */
    fun best(pending: PendingRequest, nowMillis: Long): ServerScore? {
        val candidates = live(pending.request).filter { !pending.wasTried(it.view.id) }
        val usable = candidates.filter { !it.isAvoided(nowMillis) }.ifEmpty { candidates }
        val hits = prefixes.expectedTokens(pending.prefixHashes)
        return reachable(usable, pending.request, nowMillis)
            .map { ServerScore(it, score(it, pending.request, hits, nowMillis)) }
            .minWithOrNull(compareBy<ServerScore> { it.millis }.thenBy { it.server.view.id })
    }

    /** Live backend servers for [request] in the order in which they would be tried. */
    fun ranking(
        request: SlotRequest,
        nowMillis: Long,
        homeOf: (serverId: String) -> String?,
    ): List<ServerRank> {
        val hits = prefixes.expectedTokens(PrefixHashSampling.sample(request.prefixHashes))
        return reachable(live(request), request, nowMillis)
            .map {
                ServerRank(
                    it.view.id,
                    it.view.failureDomain,
                    homeOf(it.view.id),
                    score(it, request, hits, nowMillis),
                    it.expectedWaitMillis(request.tier, nowMillis),
                    it.inService,
                )
            }
            .sortedBy { it.scoreMillis }
    }

    /** Expected wait and prefill time of [request], plus the terms that spread the load. */
    private fun score(
        server: ServerStats,
        request: SlotRequest,
        hits: Map<String, Int>,
        nowMillis: Long,
    ): Double {
        val uncached = (request.promptTokens - (hits[server.view.id] ?: 0)).coerceAtLeast(0)
        val prefill =
            if (request.promptTokens == 0) 0.0 else uncached * server.prefill.millisPerToken()
        val crossDomainCost =
            if (server.view.failureDomain == ownDomain) 0.0 else settings.crossDomainCostMillis
        return server.expectedWaitMillis(request.tier, nowMillis) +
            server.ownBacklogMillis(nowMillis) +
            prefill +
            server.inService * settings.inServiceCostMillis -
            prefixAffinityMillis(server, request) + if (isLarge(request)) crossDomainCost else 0.0
    }

    /** Identical at all entries, so that they send an unseen prefix to the same server. */
    private fun prefixAffinityMillis(server: ServerStats, request: SlotRequest): Double {
        val prefix = request.prefixHashes.firstOrNull() ?: return 0.0
        val mixed = (prefix xor server.idHash) * MIX_FACTOR
        return settings.maxAffinityMillis * (mixed ushr FRACTION_SHIFT) / FRACTION_SCALE
    }

    private fun isLarge(request: SlotRequest): Boolean =
        (pools[Pool(request.target, request.version)]?.size ?: 0) > settings.maxUnpartitionedServers

    /** In a large pool, the own failure domain, plus the least loaded other one if it is busy. */
    private fun reachable(
        candidates: List<ServerStats>,
        request: SlotRequest,
        nowMillis: Long,
    ): List<ServerStats> {
        if (!isLarge(request)) return candidates
        val byDomain = candidates.groupBy { it.view.failureDomain }
        val waits = byDomain.mapValues { (_, servers) -> meanWait(servers, request, nowMillis) }
        val own = waits[ownDomain] ?: Double.MAX_VALUE
        val other = waits.filterKeys { it != ownDomain }.minByOrNull { it.value }
        val spills = other != null && other.value + settings.crossDomainCostMillis < own
        val domains = listOfNotNull(ownDomain, other?.key.takeIf { spills })
        return domains.flatMap { byDomain[it].orEmpty() }
    }

    private fun meanWait(servers: List<ServerStats>, request: SlotRequest, nowMillis: Long) =
        servers.sumOf { it.expectedWaitMillis(request.tier, nowMillis) } / servers.size

    private companion object {
        const val MIX_FACTOR = -0x61c8864680b583ebL
        const val FRACTION_SHIFT = 11
        const val FRACTION_SCALE = 9007199254740992.0
    }
}
