package io.lavenderhinge.core.forwarding

/** Which servers of one pool may get requests, and how often their slots become free. */
internal class ServerAvailability(
    private val records: Collection<ServerRecord>,
    private val rollouts: RolloutTracker,
    private val capacity: ServerCapacity,
    private val ejections: EjectionComparison,
    private val domainRules: DomainRules,
    private val times: ServerTimes,
) {
    /**
     * Returns the servers that may get [request]. If all of them are ejected or silent, they are
     * used anyway, because it is unlikely that every server of a pool has failed.
     */
    fun eligible(request: DispatchRequest, nowMillis: Long): List<ServerRecord> {
        val accessible = capacity.accessible(domainRules.untried(records, request), nowMillis)
        val accepting = rollouts.select(accessible, request)
        return accepting
            .filterNot { isClosed(it, nowMillis) || times.isSilent(it, nowMillis) }
            .ifEmpty { accepting }
    }

    /** Returns the servers whose slots serve requests like [request], tried or not. */
    fun serving(request: DispatchRequest, nowMillis: Long): List<ServerRecord> =
        rollouts
            .select(
                capacity.accessible(domainRules.accepting(records, request), nowMillis),
                request,
            )
            .filterNot { isClosed(it, nowMillis) }

    /** Returns the servers that take requests and answer. */
    fun open(nowMillis: Long): List<ServerRecord> =
        capacity.accessible(records.filter { it.entry.acceptsWork }, nowMillis).filterNot {
            isClosed(it, nowMillis) || times.isSilent(it, nowMillis)
        }

    /**
     * Returns when the first server takes requests again, if all that may get [request] want a
     * pause; otherwise null.
     */
    fun reopenMillis(request: DispatchRequest, nowMillis: Long): Long? =
        capacity.reopenMillis(domainRules.accepting(records, request), nowMillis)

    /** Returns the refusal of [request] if rules for failure domains leave no server for it. */
    fun domainRefusal(request: DispatchRequest, nowMillis: Long): DispatchEffect.Refuse? =
        domainRules.refusal(records, request, nowMillis)

    /** Returns the slots of [servers] and how often one of them becomes free. */
    fun slotsOf(servers: List<ServerRecord>, nowMillis: Long) =
        DomainSlots(
            servers.sumOf { capacity.usableSlots(it, nowMillis) },
            slotsPerMillis(servers, nowMillis),
        )

    /** Returns how often a slot of [servers] becomes free. */
    fun slotsPerMillis(servers: List<ServerRecord>, nowMillis: Long): Double =
        servers.sumOf {
            capacity.slotsPerMillis(it, times.expectedHoldMillis(it, nowMillis), nowMillis)
        }

    private fun isClosed(record: ServerRecord, nowMillis: Long): Boolean =
        record.isFull(nowMillis) || record.isBackingOff(nowMillis) && ejections.isInForce(record)
}
