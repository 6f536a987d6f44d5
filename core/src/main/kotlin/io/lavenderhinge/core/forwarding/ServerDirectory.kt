package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun

/**
 * Maintains the list of registered backend servers.
 *
 * The entries of live servers may lapse during an outage of the store. Those servers register again
 * within [REAPPEARANCE_GRACE_MILLIS] of its recovery, so entries that are missing then are kept for
 * that time. At any other time, a missing entry is removed immediately: a single failed call, such
 * as a watch that was cut, is no outage in which entries could have lapsed.
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
    private var isStoreUnavailable = false
    private var lastAnswerMillis: Long? = null
    private var storeReturnedMillis: Long? = null

    /** The servers that are currently considered registered. */
    val servers: List<ServerEntry>
        get() = entries.values.toList()

    /** Records a failed call to the store. */
    fun onStoreUnavailable() {
        isStoreUnavailable = true
        heartbeat.onInterrupted()
    }

    /** Records a successful call to the store. */
    fun onStoreAvailable(nowMillis: Long) {
        if (isStoreUnavailable && mayHaveLapsed(nowMillis)) {
            storeReturnedMillis = nowMillis
            writtenSinceReturn.clear()
        }
        isStoreUnavailable = false
        lastAnswerMillis = nowMillis
    }

    // An outage began after the last answer at the earliest.
    private fun mayHaveLapsed(nowMillis: Long): Boolean {
        val intervalMillis = heartbeat.millis ?: return true
        val answerMillis = lastAnswerMillis ?: return true
        return nowMillis - answerMillis >= MIN_LAPSE_INTERVALS * intervalMillis
    }

    /** Replaces all entries with those in the store. */
    fun onSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        val ids = listed.mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in ids }.forEach { onRemoved(it, nowMillis) }
        val isDoubtful = nowMillis < doubtEndMillis
        listed.filterNot { isDoubtful && it.run in removedRuns }.forEach(::put)
    }

    /** Replaces all entries with those in a store that came back from an older copy. */
    fun onRestoredSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        storeReturnedMillis = nowMillis
        writtenSinceReturn.clear()
        val intervalMillis = heartbeat.millis ?: 0.0
        doubtEndMillis = nowMillis + (DOUBT_INTERVALS * intervalMillis).toLong()
        onSnapshot(listed, nowMillis)
    }

    /** Replaces all entries with the [listed] ones of an instance that watches the store. */
    fun onPeerCopy(listed: List<ServerEntry>) {
        entries.clear()
        removalMillis.clear()
        listed.forEach(::put)
    }

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
        val graceEndMillis = storeReturnedMillis?.plus(REAPPEARANCE_GRACE_MILLIS)
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
