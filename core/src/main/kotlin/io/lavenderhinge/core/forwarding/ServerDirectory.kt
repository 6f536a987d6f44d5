package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun

/**
 * Maintains the list of registered backend servers.
 *
 * The entries of live servers may lapse during an outage of the store. Those servers register again
 * within [REAPPEARANCE_GRACE_MILLIS] of its recovery, so entries that are missing then are kept for
 * that time. At any other time, a missing entry is removed immediately: a single failed call, such
 * as a watch that was cut, is no outage in which entries could have lapsed, and neither is the time
 * in which this instance alone cannot reach the store.
 *
 * A copy of a peer's list tells the kept entries from the listed ones. They are used only if the
 * outage that the peer saw is possible by what this instance knows itself.
 *
 * The store may also come back from a copy that is some seconds old and list servers as they were
 * then. A run that has announced its leaving stays unavailable, and one that had been removed stays
 * out until its server writes its entry again. Not thread-safe: all calls must come from one
 * thread.
 */
class ServerDirectory {
    private val entries = LinkedHashMap<String, ServerEntry>()
    private val removalMillis = HashMap<String, Long>()
    private val heartbeat = HeartbeatInterval()
    private val writtenSinceReturn = HashSet<String>()
    private val leavingRuns = LruMap<ServerRun, Unit>(MAX_RUNS)
    private val removedRuns = LruMap<ServerRun, Unit>(MAX_RUNS)
    private var doubtEndMillis = Long.MIN_VALUE
    private val outages = StoreOutages(::lapseMillis)

    /** The servers that are currently considered registered. */
    val servers: List<ServerEntry>
        get() = entries.values.toList()

    /** Records a failed call to the store. */
    fun onStoreUnavailable() {
        outages.onFailedCall()
        heartbeat.onInterrupted()
    }

    /**
     * Records a successful call to the store. Returns true if it ends an outage in which entries
     * may have lapsed.
     */
    fun onStoreAvailable(nowMillis: Long): Boolean {
        val hasEnded = outages.onAnswer(nowMillis)
        if (hasEnded) writtenSinceReturn.clear()
        return hasEnded
    }

    /** Records that the store answered a peer at [answeredMillis]. */
    fun onPeerAnswer(answeredMillis: Long) = outages.onPeerAnswer(answeredMillis)

    // An outage began after the last answer at the earliest.
    private fun lapseMillis(): Long = (MIN_LAPSE_INTERVALS * (heartbeat.millis ?: 0.0)).toLong()

    /** Replaces all entries with those in the store. */
    fun onSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        val ids = listed.mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in ids }.forEach { onRemoved(it, nowMillis) }
        val isDoubtful = nowMillis < doubtEndMillis
        listed.filterNot { isDoubtful && it.run in removedRuns }.forEach(::put)
    }

    /** Records that the store came back from an older copy, which may lack entries. */
    fun onRestored(nowMillis: Long) {
        outages.onEnded(nowMillis)
        writtenSinceReturn.clear()
    }

    /** Replaces all entries with those in a store that came back from an older copy. */
    fun onRestoredSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        onRestored(nowMillis)
        val intervalMillis = heartbeat.millis ?: 0.0
        doubtEndMillis = nowMillis + (DOUBT_INTERVALS * intervalMillis).toLong()
        onSnapshot(listed, nowMillis)
    }

    /**
     * Replaces all entries with the [listed] ones of an instance that watches the store, and those
     * that it has [kept] after an outage.
     */
    fun onPeerCopy(
        listed: List<ServerEntry>,
        nowMillis: Long,
        kept: List<KeptServer> = emptyList(),
    ) {
        val credible = kept.filter { isCredible(it, nowMillis) }
        val ids = (listed + credible.map { it.entry }).mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in ids }.forEach(::remove)
        entries.clear()
        listed.forEach(::put)
        credible.forEach { keep(it, nowMillis) }
    }

    // A peer that was cut off from the store alone may take that for an outage, and pass on a
    // server that has left.
    private fun isCredible(kept: KeptServer, nowMillis: Long): Boolean {
        if (kept.remainingMillis <= 0 || kept.entry.run in removedRuns) return false
        val outageEndMillis = nowMillis + kept.remainingMillis - REAPPEARANCE_GRACE_MILLIS
        return !outages.isServedSince(outageEndMillis - lapseMillis(), nowMillis)
    }

    private fun keep(kept: KeptServer, nowMillis: Long) {
        val knownEndMillis = removalMillis[kept.entry.id] ?: Long.MAX_VALUE
        put(kept.entry)
        val remainingMillis = kept.remainingMillis.coerceAtMost(REAPPEARANCE_GRACE_MILLIS)
        removalMillis[kept.entry.id] = minOf(knownEndMillis, nowMillis + remainingMillis)
    }

    /** Returns how long the servers that the store does not list are still used, by id. */
    fun keptMillis(nowMillis: Long): Map<String, Long> =
        removalMillis.mapValues { (_, endMillis) -> (endMillis - nowMillis).coerceAtLeast(0) }

    /** Adds or replaces an entry that its server has just written. */
    fun onWritten(entry: ServerEntry, nowMillis: Long) {
        heartbeat.onWritten(entry.id, nowMillis)
        writtenSinceReturn.add(entry.id)
        put(entry)
    }

    private fun put(entry: ServerEntry) {
        if (!entry.acceptsWork) leavingRuns[entry.run] = Unit
        removalMillis.remove(entry.id)
        removedRuns.remove(entry.run)
        entries[entry.id] = if (entry.run in leavingRuns) entry.copy(acceptsWork = false) else entry
    }

    /** Removes an entry that was deleted from the store or cannot be decoded. */
    fun onRemoved(id: String, nowMillis: Long) {
        val graceEndMillis = outages.endedMillis?.plus(REAPPEARANCE_GRACE_MILLIS)
        if (graceEndMillis == null || nowMillis > graceEndMillis) return remove(id)
        if (id in writtenSinceReturn) return remove(id)
        if (id in entries) removalMillis.putIfAbsent(id, graceEndMillis)
    }

    /** Drops entries whose grace period has ended and returns true if there were any. */
    fun expire(nowMillis: Long): Boolean {
        val expired = removalMillis.filterValues { it <= nowMillis }.keys.toList()
        expired.forEach(::remove)
        return expired.isNotEmpty()
    }

    private fun remove(id: String) {
        entries.remove(id)?.let { removedRuns[it.run] = Unit }
        removalMillis.remove(id)
        writtenSinceReturn.remove(id)
        heartbeat.onRemoved(id)
    }

    private companion object {
        const val REAPPEARANCE_GRACE_MILLIS = 2_200L
        /**
         * An entry lapses after three heartbeats without a write, and its last write is up to one
         * heartbeat older than the outage. The rest is for writes that come early.
         */
        const val MIN_LAPSE_INTERVALS = 1.75
        /** After three heartbeats, the store has dropped the entries of servers that are gone. */
        const val DOUBT_INTERVALS = 4.0
        /** Bounds the memory; runs that ended long ago are forgotten first. */
        const val MAX_RUNS = 1_024
    }
}
