package io.lavenderhinge.core.forwarding

/** Applies the evacuations of failure domains to the servers of a pool. */
internal class DomainEvacuations(
    /** Returns the newest state; it may change at any time. */
    private val state: () -> EvacuationState
) {
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

    // The hash of a server shifts the times at which its slots open, so that the slots of the
    // domain open one after another and every instance opens the same ones.
    private fun openSlots(
        record: ServerRecord,
        slots: Int,
        state: EvacuationState,
        nowMillis: Long,
    ): Int {
        val share = state.usableShare(record.entry.failureDomain, nowMillis)
        if (share >= 1) return slots
        val offset = ((record.idHash shr HASH_SHIFT).toDouble() + 1) / HASH_RANGE
        return (share * slots + 1 - offset).toInt().coerceIn(0, slots)
    }

    private fun ServerRecord.isEvacuated(state: EvacuationState, nowMillis: Long): Boolean =
        state.isEvacuated(entry.failureDomain, nowMillis)

    private companion object {
        /** The upper bits of a hash that a double holds exactly. */
        const val HASH_SHIFT = 11
        const val HASH_RANGE = (1L shl (Long.SIZE_BITS - HASH_SHIFT)).toDouble()
    }
}
