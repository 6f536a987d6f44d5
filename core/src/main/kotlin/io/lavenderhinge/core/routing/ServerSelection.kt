package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.PrefixMilestones
import io.lavenderhinge.core.scheduling.ServerState
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Target

/** The backend servers an entry knows, and the order in which it asks their homes. */
internal class ServerSelection(
    private val ownDomain: String,
    private val settings: RoutingSettings,
) {
    private data class Pool(val target: Target, val version: String)

    private val books = HashMap<String, ServerBook>()
    private var pools: Map<Pool, List<ServerBook>> = emptyMap()
    val prefixes = PrefixIndex()

    operator fun get(serverId: String): ServerBook? = books[serverId]

    fun viewChanged(servers: List<ServerView>) {
        books.keys.retainAll(servers.map { it.id }.toSet())
        prefixes.retain(books.keys)
        for (server in servers) books.getOrPut(server.id) { ServerBook(server) }.view = server
        pools = books.values.groupBy { Pool(it.view.target, it.view.version) }
    }

    /** Live backend servers for [request], before any preference. */
    fun live(request: SlotRequest): List<ServerBook> =
        pools[Pool(request.target, request.version)].orEmpty().filter {
            it.view.health.state == ServerState.LIVE &&
                (request.onlyServerId == null || request.onlyServerId == it.view.id)
        }

    /** The backend server with the lowest score whose home was not asked in this round. */
    fun best(pending: PendingRequest, nowMillis: Long): ServerScore? {
        val unasked = live(pending.request).filter { !pending.wasAsked(it.view.id) }
        val usable = unasked.filter { !it.isAvoided(nowMillis) }.ifEmpty { unasked }
        val hits = prefixes.expectedTokens(pending.prefixHashes)
        return reachable(usable, pending.request, nowMillis)
            .map { ServerScore(it, score(it, pending.request, hits, nowMillis)) }
            .minWithOrNull(compareBy<ServerScore> { it.millis }.thenBy { it.book.view.id })
    }

    /** Live backend servers for [request], the one that is asked first at the top. */
    fun standings(
        request: SlotRequest,
        nowMillis: Long,
        homeOf: (serverId: String) -> String?,
    ): List<ServerStanding> {
        val hits = prefixes.expectedTokens(PrefixMilestones.select(request.prefixHashes))
        return reachable(live(request), request, nowMillis)
            .map {
                ServerStanding(
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

    /** Expected wait and prefill for [request], and what spreads the load. */
    private fun score(
        book: ServerBook,
        request: SlotRequest,
        hits: Map<String, Int>,
        nowMillis: Long,
    ): Double {
        val uncached = (request.promptTokens - (hits[book.view.id] ?: 0)).coerceAtLeast(0)
        val prefill =
            if (request.promptTokens == 0) 0.0 else uncached * book.prefill.millisPerToken()
        val distance = if (book.view.failureDomain == ownDomain) 0.0 else settings.otherDomainMillis
        return book.expectedWaitMillis(request.tier, nowMillis) +
            book.ownBacklogMillis(nowMillis) +
            prefill +
            book.inService * settings.loadMillis - agreement(book, request) +
            if (isLarge(request)) distance else 0.0
    }

    /** The same for all entries, so that they send an unseen prefix to the same server. */
    private fun agreement(book: ServerBook, request: SlotRequest): Double {
        val prefix = request.prefixHashes.firstOrNull() ?: return 0.0
        val mixed = (prefix xor book.idHash) * MIX_FACTOR
        return settings.agreementMillis * (mixed ushr FRACTION_SHIFT) / FRACTION_SCALE
    }

    private fun isLarge(request: SlotRequest): Boolean =
        (pools[Pool(request.target, request.version)]?.size ?: 0) > settings.wholePoolServers

    /** In a large pool the own failure domain, and the least loaded other one when that is busy. */
    private fun reachable(
        candidates: List<ServerBook>,
        request: SlotRequest,
        nowMillis: Long,
    ): List<ServerBook> {
        if (!isLarge(request)) return candidates
        val byDomain = candidates.groupBy { it.view.failureDomain }
        val waits = byDomain.mapValues { (_, books) -> meanWait(books, request, nowMillis) }
        val own = waits[ownDomain] ?: Double.MAX_VALUE
        val other = waits.filterKeys { it != ownDomain }.minByOrNull { it.value }
        val spills = other != null && other.value + settings.otherDomainMillis < own
        val domains = listOfNotNull(ownDomain, other?.key.takeIf { spills })
        return domains.flatMap { byDomain[it].orEmpty() }
    }

    private fun meanWait(books: List<ServerBook>, request: SlotRequest, nowMillis: Long) =
        books.sumOf { it.expectedWaitMillis(request.tier, nowMillis) } / books.size

    private companion object {
        const val MIX_FACTOR = -0x61c8864680b583ebL
        const val FRACTION_SHIFT = 11
        const val FRACTION_SCALE = 9007199254740992.0
    }
}
