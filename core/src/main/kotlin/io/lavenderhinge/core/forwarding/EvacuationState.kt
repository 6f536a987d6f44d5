package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/** All evacuations that the store or a peer knew at [revision]. */
data class EvacuationRead(
    val domains: Set<String>,
    /** Revision of the store at which [domains] was complete. */
    val revision: Long,
    /** Revision of the last change, or a lower bound of it. */
    val changeRevision: Long,
    /** True if the store came back from an older copy after what was known before. */
    val isRestored: Boolean = false,
    /** Domains whose request was seen to be removed. */
    val endedDomains: Set<String> = emptySet(),
)

/**
 * The failure domains that the operator has asked to evacuate, as far as this instance knows.
 *
 * The design load is a fleet at twice its capacity, of which one domain in three or four is emptied
 * and taken back: servers of an evacuated domain get no request at all, and those of a domain that
 * returns get their requests over [RAMP_MILLIS], so that the queues of the whole fleet do not reach
 * servers with cold caches at the same moment.
 *
 * Immutable, so that the newest state can be read on any thread. Revisions are those of the store,
 * with its era in the upper bits: a revision of a newer era is greater. Times are milliseconds on
 * the monotonic clock. The size is bounded by the number of keys that the operator writes.
 */
data class EvacuationState(
    /** Revision of the last known change, or a lower bound of it; 0 if nothing has been read. */
    val revision: Long = 0,
    /** Revision up to which all changes are known; 0 if nothing has been read. */
    val readRevision: Long = 0,
    /** Domains whose evacuation is requested. */
    val domains: PersistentSet<String> = persistentSetOf(),
    /** When evacuations have ended or, if a restored store has lost the request, will end. */
    private val endMillis: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** True once the requests have been read from the store or a peer. */
    val isKnown: Boolean
        get() = readRevision > 0

    /** True if no domain is evacuated or returns. */
    val isEmpty: Boolean
        get() = domains.isEmpty() && endMillis.isEmpty()

    /** Returns true if servers of [domain] must not get requests. */
    fun isEvacuated(domain: String, nowMillis: Long): Boolean =
        domain in domains || endMillis[domain]?.let { nowMillis < it } ?: false

    /** Returns the share of the slots of [domain] that may be used. */
    fun usableShare(domain: String, nowMillis: Long): Double {
        if (domain in domains) return 0.0
        val end = endMillis[domain] ?: return 1.0
        return ((nowMillis - end).toDouble() / RAMP_MILLIS).coerceIn(0.0, 1.0)
    }

    /** Returns the domains that get no requests at [nowMillis], requested or held back. */
    fun evacuatedDomains(nowMillis: Long): Set<String> =
        domains + endMillis.filterValues { nowMillis < it }.keys

    /**
     * Returns the state after [read]. One that is older than what is known has no effect.
     *
     * A store that came back from a copy may have lost a request that the operator has not taken
     * back. Such a domain stays evacuated for [HOLD_MILLIS], in which the operator writes what the
     * store has lost; after that, the store is right.
     */
    fun after(read: EvacuationRead, nowMillis: Long): EvacuationState {
        if (read.revision < readRevision) return this
        val isChanged = !isKnown || read.domains != domains
        return EvacuationState(
            if (isChanged) maxOf(revision, read.changeRevision) else revision,
            read.revision,
            if (isChanged) read.domains.toPersistentSet() else domains,
            endsAfter(read, nowMillis),
        )
    }

    private fun endsAfter(read: EvacuationRead, nowMillis: Long): PersistentMap<String, Long> {
        val leftDomains = domains - read.domains
        if (endMillis.isEmpty() && leftDomains.isEmpty()) return endMillis
        val leftMillis = if (read.isRestored) nowMillis + HOLD_MILLIS else nowMillis
        val ends = endMillis + leftDomains.associateWith { leftMillis }
        return ends
            .filter { (domain, end) -> domain !in read.domains && nowMillis - end < RAMP_MILLIS }
            .mapValues { (domain, end) ->
                if (domain in read.endedDomains) minOf(end, nowMillis) else end
            }
            .toPersistentMap()
    }

    companion object {
        /** Time after an evacuation until all slots of the domain are used again. */
        const val RAMP_MILLIS = 5_000L
        /** Exceeds the time in which operators notice the loss and write the key again. */
        const val HOLD_MILLIS = 10_000L
    }
}
