package io.lavenderhinge.core.forwarding

import kotlin.math.ceil

/**
 * The fair shares of the workspaces of each priority during one pass over the queue of a pool, for
 * bursts in which one workspace asks for several times its usual load.
 *
 * Shares are those of start-time fair queueing: a request starts where the charges of its workspace
 * and its requests before it end. It is within the share of the workspace if it starts below the
 * level up to which all workspaces that ask for more get the same. Requests that can still be on
 * time go first, those within a share in order of arrival and the others by their starts, so that a
 * slot is never kept free for a share.
 */
internal class ShareRound(
    private val service: String,
    private val accounts: WorkspaceAccounts,
    private val peers: PeerLoads.Current,
    private val queue: Collection<DispatchRequest>,
    private val nowMillis: Long,
    private val isLate: (DispatchRequest) -> Boolean,
) {
    private class Workspace(val chargedMillis: Double, val holdMillis: Double, val waiting: Int) {
        val demandMillis: Double
            get() = chargedMillis + waiting * holdMillis

        fun startMillis(index: Int): Double = chargedMillis + index * holdMillis

        /** Number of waiting requests that start before [limitMillis]. */
        fun waitingBefore(limitMillis: Double): Int =
            ceil((limitMillis - chargedMillis) / holdMillis).toInt().coerceIn(0, waiting)
    }

    private class Shares(val workspaces: Map<String, Workspace>, val level: ShareLevel)

    private class Standing(
        val request: DispatchRequest,
        val isLate: Boolean,
        val startMillis: Double,
        val isWithin: Boolean,
    )

    private val byPriority = HashMap<Int, Shares>()

    /** Returns [requests] in the order in which slots are assigned. */
    fun ordered(requests: Collection<DispatchRequest>): List<DispatchRequest> =
        requests
            .groupBy { it.priority }
            .toSortedMap()
            .flatMap { (priority, group) -> orderedInPriority(shares(priority), group) }

    private fun orderedInPriority(
        shares: Shares,
        requests: List<DispatchRequest>,
    ): List<DispatchRequest> {
        val indexes = HashMap<String, Int>()
        return requests
            .map { it to isLate(it) }
            .sortedWith(
                compareBy({ it.second }, { !it.first.isReturn }, { it.first.arrivedMillis })
            )
            .map { (request, isLate) ->
                val name = request.chargedWorkspace
                val index = indexes.merge(name, 1, Int::plus)!! - 1
                val startMillis = workspace(shares, request).startMillis(index)
                val isWithin = startMillis < shares.level.levelMillis
                Standing(request, isLate, startMillis, isWithin)
            }
            .sortedWith(ORDER)
            .map { it.request }
    }

    /** Returns true if [request] is within the share of its workspace. */
    fun isWithinShare(request: DispatchRequest): Boolean {
        val shares = shares(request.priority)
        return workspace(shares, request).chargedMillis < shares.level.levelMillis
    }

    /** Returns true if one of the workspaces that are [waiting] is within its share. */
    fun isAnyWithinShare(priority: Int, waiting: List<WaitingWorkspace>): Boolean {
        val shares = shares(priority)
        return waiting.any {
            val chargedMillis = shares.workspaces[it.workspace]?.chargedMillis ?: 0.0
            chargedMillis < shares.level.levelMillis
        }
    }

    /**
     * Returns how many slots go to requests of the same priority before [request], which can still
     * be on time, gets one.
     */
    fun expectedSlots(request: DispatchRequest): Double {
        val shares = shares(request.priority)
        val own = workspace(shares, request)
        val levelMillis = shares.level.levelMillis
        val startMillis = own.startMillis(own.waiting)
        val isWithin = startMillis < levelMillis
        val limitMillis = if (isWithin) levelMillis else startMillis
        val ahead = shares.workspaces.values.sumOf { it.waitingBefore(limitMillis) }
        // Those that arrive later within their shares overtake a request above its share.
        return if (isWithin) ahead.toDouble()
        else maxOf(ahead.toDouble(), own.waiting / shares.level.shareFraction)
    }

    /** Returns the share of the workspace of [request], for the log. */
    fun describe(request: DispatchRequest): String {
        val shares = shares(request.priority)
        val own = workspace(shares, request)
        return "workspace charged ${own.chargedMillis.toInt()} ms, " +
            "share ${shares.level.levelMillis.toInt()} ms, ${own.waiting} waiting"
    }

    /** Charges [request], which has got a slot, to its workspace if others are waiting. */
    fun onStarted(request: DispatchRequest) {
        val isContended =
            request.arrivedMillis < nowMillis ||
                queue.size > 1 ||
                peers.waiting(service, request.priority) > 0
        if (isContended) accounts.onStarted(request.priority, request.chargedWorkspace, nowMillis)
    }

    private fun workspace(shares: Shares, request: DispatchRequest): Workspace =
        shares.workspaces[request.chargedWorkspace]
            ?: Workspace(0.0, accounts.holdMillis(request.priority, request.chargedWorkspace), 0)

    private fun shares(priority: Int): Shares =
        byPriority.getOrPut(priority) {
            val charges = accounts.charges(priority, nowMillis)
            val waiting = HashMap(peers.waitingByWorkspace(service, priority))
            queue
                .filter { it.priority == priority && !isLate(it) }
                .forEach { waiting.merge(it.chargedWorkspace, 1, Int::plus) }
            val workspaces =
                (charges.keys + waiting.keys).associateWith { name ->
                    Workspace(
                        charges[name] ?: 0.0,
                        accounts.holdMillis(priority, name),
                        waiting[name] ?: 0,
                    )
                }
            Shares(
                workspaces,
                ShareLevel.of(charges.values.sum(), workspaces.values.map { it.demandMillis }),
            )
        }

    private companion object {
        val ORDER =
            compareBy<Standing> { it.isLate }
                .thenBy { !it.isWithin }
                .thenBy { if (it.isWithin && !it.isLate) 0.0 else it.startMillis }
                .thenBy { !it.request.isReturn }
                .thenBy { it.request.arrivedMillis }
    }
}
