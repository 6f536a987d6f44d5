package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/**
 * Applies the evacuations of failure domains to the servers of a pool.
 *
 * The slots of a domain that returns open one after another, at times that follow from the ids of
 * the servers. Each instance shifts these times at random, because all instances of a large fleet
 * would otherwise send to the same new slot before the first report of it.
 */
internal class DomainEvacuations(
    random: Random,
    /** Returns the newest state; it may change at any time. */
    private val state: () -> EvacuationState,
) {
    private val salt by lazy(LazyThreadSafetyMode.NONE) { random.nextLong().toULong() }

    /**
     * Returns those of [servers] that are in no evacuated domain. Of a domain that returns, the
     * servers that have no open slot yet are left out unless there are no others.
     */
    fun reachable(servers: List<ServerRecord>, nowMillis: Long): List<ServerRecord> {
        val state = state()
        if (state.isEmpty) return servers
        val reachable = servers.filterNot { it.isEvacuated(state, nowMillis) }
        return reachable
            .filter { openSlots(it, it.entry.slots, state, nowMillis) > 0 }
            .ifEmpty { reachable }
    }

    /** Returns true if any of [servers] is in an evacuated domain. */
    fun hasEvacuated(servers: List<ServerRecord>, nowMillis: Long): Boolean {
        val state = state()
        return !state.isEmpty && servers.any { it.isEvacuated(state, nowMillis) }
    }

    /** Returns how many of the [slots] of a reachable server may be used; at least one. */
    fun usableSlots(record: ServerRecord, slots: Int, nowMillis: Long): Int {
        val state = state()
        return if (state.isEmpty) slots
        else openSlots(record, slots, state, nowMillis).coerceAtLeast(1)
    }

    private fun openSlots(
        record: ServerRecord,
        slots: Int,
        state: EvacuationState,
        nowMillis: Long,
    ): Int {
        val share = state.usableShare(record.entry.failureDomain, nowMillis)
        if (share >= 1) return slots
        val serverOffset = fraction(record.idHash)
        return (0 until slots).count { slot ->
            val opensAt = (slot + serverOffset) / slots * (1 - SPREAD_FRACTION)
            val shift = fraction(mix(record.idHash xor salt, slot)) * SPREAD_FRACTION
            opensAt + shift <= share
        }
    }

    // Spreads the bits of values that differ in few of them.
    private fun mix(hash: ULong, slot: Int): ULong {
        val product = (hash + slot.toULong()) * GOLDEN_RATIO
        return (product xor (product shr MIX_SHIFT)) * GOLDEN_RATIO
    }

    // In (0, 1], so that no slot is open at the end of an evacuation.
    private fun fraction(hash: ULong): Double = ((hash shr HASH_SHIFT).toDouble() + 1) / HASH_RANGE

    private fun ServerRecord.isEvacuated(state: EvacuationState, nowMillis: Long): Boolean =
        state.isEvacuated(entry.failureDomain, nowMillis)

    private companion object {
        /** Share of the ramp over which instances open the same slot. */
        const val SPREAD_FRACTION = 0.2
        const val GOLDEN_RATIO = 0x9E3779B97F4A7C15uL
        const val MIX_SHIFT = 32
        /** The upper bits of a hash that a double holds exactly. */
        const val HASH_SHIFT = 11
        const val HASH_RANGE = (1L shl (Long.SIZE_BITS - HASH_SHIFT)).toDouble()
    }
}
