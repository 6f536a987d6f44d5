package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.PersistentSet

/**
 * One pass over the queue of a pool at [nowMillis]. Whatever does not depend on the request is read
 * once for all requests of the queue: with tens of servers and peers, reading it for each of them
 * would take most of the processor time of an instance.
 */
internal class PlacementRound(
    val peers: PeerLoads.Current,
    val nowMillis: Long,
    private val eligibleServers: (DispatchRequest) -> List<ServerRecord>,
    private val loadOf: (ServerRecord) -> ServerLoad,
    private val slotInterval: (DispatchRequest) -> Double,
) {
    /** The properties of a request that determine which servers may get it. */
    private data class Eligibility(
        val excludedServers: PersistentSet<String>,
        val usesTargetVersion: Boolean,
    )

    private val loads = HashMap<ServerRecord, ServerLoad>()
    private val eligible = HashMap<Eligibility, List<ServerLoad>>()
    private val slotIntervals = HashMap<Boolean, Double>()

    /** Returns the servers that may get [request]. */
    fun eligible(request: DispatchRequest): List<ServerLoad> =
        eligible.getOrPut(Eligibility(request.excludedServers, request.usesTargetVersion)) {
            eligibleServers(request).map { record -> loads.getOrPut(record) { loadOf(record) } }
        }

    /** Returns true if a server can take [request] at once. */
    fun hasFreeSlot(request: DispatchRequest): Boolean = eligible(request).any { it.freeSlots > 0 }

    /** Returns the mean time between two slots becoming free for requests like [request]. */
    fun slotIntervalMillis(request: DispatchRequest): Double =
        slotIntervals.getOrPut(request.usesTargetVersion) { slotInterval(request) }
}
