package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/** What servers take at a time: their slots and the limits and pauses that they state. */
internal class ServerCapacity(
    private val rateLimits: ServerRateLimits,
    private val statements: ServerStatements,
    private val ejections: EjectionComparison,
    private val evacuations: DomainEvacuations =
        DomainEvacuations(Random.Default) { EvacuationState() },
) {
    /**
     * Returns the [servers] that take requests; those that are leaving only if there is no other.
     * Servers in evacuated domains take none.
     */
    fun accessible(servers: List<ServerRecord>, nowMillis: Long): List<ServerRecord> {
        val reachable = evacuations.reachable(servers, nowMillis)
        if (statements.isEmpty) return reachable
        val byAccess = reachable.groupBy { statements.access(it.entry.run, nowMillis) }
        return byAccess[ServerAccess.Open] ?: byAccess[ServerAccess.LastResort].orEmpty()
    }

    /** Returns how many of [servers] are leaving or pausing. */
    fun inaccessibleCount(servers: Collection<ServerRecord>, nowMillis: Long): Int =
        if (statements.isEmpty) 0
        else servers.count { statements.access(it.entry.run, nowMillis) !is ServerAccess.Open }

    /**
     * Returns when the first of [servers] takes requests again, if all of them want a pause;
     * otherwise null.
     */
    fun reopenMillis(servers: List<ServerRecord>, nowMillis: Long): Long? {
        if (accessible(servers, nowMillis).isNotEmpty()) return null
        return evacuations
            .reachable(servers, nowMillis)
            .mapNotNull { statements.access(it.entry.run, nowMillis) as? ServerAccess.Closed }
            .mapNotNull { it.endMillis }
            .minOrNull()
    }

    /** Returns how many requests the server takes at a time. */
    fun usableSlots(record: ServerRecord, nowMillis: Long): Int =
        if (ejections.isInForce(record)) 1
        else
            minOf(
                statements.usableSlots(record.entry.run, record.entry.slots, nowMillis),
                evacuations.usableSlots(record, record.entry.slots, nowMillis),
                rateLimits.cold.usableSlots(record.entry.run, record.entry.slots, nowMillis),
            )

    /** Returns how long this instance has to wait because of the limit that the server states. */
    fun limitWaitMillis(record: ServerRecord, peerCount: Int, nowMillis: Long): Double =
        if (rateLimits.isEmpty) 0.0
        else rateLimits.waitMillis(record.entry.run, peerCount + 1, nowMillis)

    /** Returns how often a slot of the server becomes free if each is used for [holdMillis]. */
    fun slotsPerMillis(record: ServerRecord, holdMillis: Double, nowMillis: Long): Double {
        val slots = evacuations.usableSlots(record, record.entry.slots, nowMillis)
        val byDuration = slots / holdMillis
        if (rateLimits.isEmpty) return byDuration
        val limitPerSecond = rateLimits.perSecond(record.entry.run, nowMillis) ?: return byDuration
        return minOf(byDuration, limitPerSecond / MILLIS_PER_SECOND)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
