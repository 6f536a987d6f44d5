package io.lavenderhinge.core.forwarding

/** Applies [spillover] to one pool where its [features] call for it. */
internal class PoolSpillover(
    private val spillover: DomainSpillover,
    private val features: PoolFeatures,
    private val records: Collection<ServerRecord>,
    private val availability: ServerAvailability,
    private val times: ServerTimes,
) {
    /** The decision, or null if each request may go to any server. */
    val inForce: DomainSpillover?
        get() = spillover.takeIf { features.hasDomainSpillover }

    /** Adapts the share of the requests that leave the failure domain to [demands]. */
    fun update(demands: DomainDemands, waiting: Int, nowMillis: Long) {
        if (!features.hasDomainSpillover || !spillover.isDue(nowMillis)) return
        val slots =
            availability
                .open(nowMillis)
                .groupBy { it.entry.failureDomain }
                .mapValues { availability.slotsOf(it.value, nowMillis) }
        val running = records.sumOf { it.inFlight }
        val byDomain = demands.of(spillover.service, times.meanHoldMillis(), nowMillis)
        val runningAtHome = records.filter(spillover::isHome).sumOf { it.inFlight }
        spillover.update(slots, byDomain, running, runningAtHome, waiting, nowMillis)
    }

    /** Records that a request has arrived and is not refused at once. */
    fun onArrived() = spillover.onArrived()

    /** Returns the state of the failure domain for the peers; null if spillover is not in force. */
    fun domainLoad(): DomainLoadReport? = inForce?.report()

    /**
     * Returns the mean time between two slots becoming free for [request]: those of the own failure
     * domain where requests stay there unless leaving pays.
     */
    fun slotIntervalMillis(request: DispatchRequest, nowMillis: Long): Double {
        val serving = availability.serving(request, nowMillis)
        val near = inForce?.let { serving.filter(it::isHome) }.orEmpty()
        val slotsPerMillis = availability.slotsPerMillis(near.ifEmpty { serving }, nowMillis)
        if (slotsPerMillis <= 0) return ServerTimes.MIN_HOLD_MILLIS
        return (if (near.isEmpty()) 1.0 else spillover.stayingFraction) / slotsPerMillis
    }
}
