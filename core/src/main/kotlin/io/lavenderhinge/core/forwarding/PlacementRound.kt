package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** The servers that may get a request. */
internal class EligibleServers(
    val loads: List<ServerLoad>,
    failureDomain: String,
    /** Those that only a request gets that leaves its failure domain; null if there are none. */
    val away: EligibleServers? = null,
) {
    /** Those in the own failure domain, or all if there are none. */
    val near: List<ServerRecord> by
        lazy(LazyThreadSafetyMode.NONE) {
            val records = loads.map { it.record }
            records.filter { it.entry.failureDomain == failureDomain }.ifEmpty { records }
        }

    /** Identifies the set of [near] servers, whatever their order. */
    val nearHash: ULong by
        lazy(LazyThreadSafetyMode.NONE) {
            near.fold(0uL) { hash, record -> hash xor record.idHash }
        }

    private val loadsByRecord by lazy(LazyThreadSafetyMode.NONE) { loads.associateBy { it.record } }

    /** Returns the load of [record], or null if it must not get the request. */
    fun loadOf(record: ServerRecord): ServerLoad? = loadsByRecord[record]
}

/**
 * One pass over the queue of a pool at [nowMillis]. Whatever does not depend on the request is read
 * once for all requests of the queue: with tens of servers and peers, reading it for each of them
 * would take most of the processor time of an instance.
 */
internal class PlacementRound(
    val peers: PeerLoads.Current,
    val failureDomain: String,
    val nowMillis: Long,
    private val eligibleServers: (DispatchRequest) -> List<ServerRecord>,
    private val loadOf: (ServerRecord) -> ServerLoad,
    private val slotInterval: (DispatchRequest) -> Double,
    /** Decides which requests leave the failure domain; null if each may go to any server. */
    private val spillover: DomainSpillover? = null,
) {
    /** The fair shares of workspaces; null if they are not in force. */
    var shares: ShareRound? = null

    /** The properties of a request that determine which servers may get it. */
    private data class Eligibility(
        val excludedServers: PersistentSet<String>,
        val usesTargetVersion: Boolean,
        val allowedRegions: PersistentSet<String>?,
    )

    /** The properties of a request that determine how often a slot becomes free for it. */
    private data class SlotGroup(
        val usesTargetVersion: Boolean,
        val allowedRegions: PersistentSet<String>?,
    )

    private val loads = HashMap<ServerRecord, ServerLoad>()
    private val eligible = HashMap<Eligibility, EligibleServers>()
    private val slotIntervals = HashMap<SlotGroup, Double>()
    private var leavingTries = 0

    /** Returns the servers that may get [request]. */
    fun eligible(request: DispatchRequest): EligibleServers =
        eligible.getOrPut(eligibility(request)) {
            val records = eligibleServers(request)
            byDomain(records.map { loads.getOrPut(it) { loadOf(it) } })
        }

    private fun byDomain(all: List<ServerLoad>): EligibleServers {
        val near = all.filter { it.record.entry.failureDomain == failureDomain }
        // Without a server at home, there is nothing to weigh.
        if (spillover == null || near.isEmpty()) return EligibleServers(all, failureDomain)
        val away = all.filter { it.record.entry.failureDomain in spillover.targets }
        return EligibleServers(
            near,
            failureDomain,
            if (away.isEmpty()) null else EligibleServers(away, failureDomain),
        )
    }

    /**
     * Returns true if it may be weighed whether a request leaves for one of the [away] servers.
     * Limited for each pass, since it takes two choices of a server.
     */
    fun tryLeaving(away: EligibleServers): Boolean =
        spillover?.mayLeave == true &&
            leavingTries < MAX_LEAVING_TRIES &&
            away.loads.any { it.freeSlots > 0 }.also { if (it) leavingTries++ }

    /** Returns true if a server can take [request] at once. */
    fun hasFreeSlot(request: DispatchRequest): Boolean =
        eligible(request).loads.any { it.freeSlots > 0 }

    /**
     * Returns true if neither [request] nor one that was not sent before can be sent at once. A
     * request that was sent before must not go to the same servers again.
     */
    fun isFull(request: DispatchRequest): Boolean =
        !hasFreeSlot(request) &&
            (request.excludedServers.isEmpty() ||
                !hasFreeSlot(request.copy(excludedServers = persistentSetOf())))

    /** Returns the mean time between two slots becoming free for requests like [request]. */
    fun slotIntervalMillis(request: DispatchRequest): Double =
        slotIntervals.getOrPut(SlotGroup(request.usesTargetVersion, request.allowedRegions)) {
            slotInterval(request)
        }

    private fun eligibility(request: DispatchRequest) =
        Eligibility(request.excludedServers, request.usesTargetVersion, request.allowedRegions)

    private companion object {
        const val MAX_LEAVING_TRIES = 8
    }
}
