package io.lavenderhinge.core.forwarding

/**
 * Maintains the list of registered backend servers.
 *
 * Leases of live servers may expire during an outage of the store. Those servers register again
 * within [REAPPEARANCE_GRACE_MILLIS] of its recovery, so entries that are missing then are kept for
 * that time. At any other time, a missing entry is removed immediately. Not thread-safe: all calls
 * must come from one thread.
 */
class ServerDirectory {
    private val entries = LinkedHashMap<String, ServerEntry>()
    private val removalMillis = HashMap<String, Long>()
    private var isStoreUnavailable = false
    private var storeReturnedMillis: Long? = null

    /** The servers that are currently considered registered. */
    val servers: List<ServerEntry>
        get() = entries.values.toList()

    /** Records a failed call to the store. */
    fun onStoreUnavailable() {
        isStoreUnavailable = true
    }

    /** Records a successful call to the store. */
    fun onStoreAvailable(nowMillis: Long) {
        if (isStoreUnavailable) storeReturnedMillis = nowMillis
        isStoreUnavailable = false
    }

    /** Replaces all entries with those in the store. */
    fun onSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        val ids = listed.mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in ids }.forEach { onRemoved(it, nowMillis) }
        listed.forEach(::onWritten)
    }

    /** Adds or replaces an entry. */
    fun onWritten(entry: ServerEntry) {
        removalMillis.remove(entry.id)
        entries[entry.id] = entry
    }

    /** Removes an entry that was deleted from the store or cannot be decoded. */
    fun onRemoved(id: String, nowMillis: Long) {
        val returnedMillis = storeReturnedMillis
        if (returnedMillis == null || nowMillis - returnedMillis > REAPPEARANCE_GRACE_MILLIS) {
            entries.remove(id)
            removalMillis.remove(id)
            return
        }
        if (id in entries) removalMillis.putIfAbsent(id, returnedMillis + REAPPEARANCE_GRACE_MILLIS)
    }

    /** Drops entries whose grace period has ended and returns true if there were any. */
    fun expire(nowMillis: Long): Boolean {
        val expired = removalMillis.filterValues { it <= nowMillis }.keys.toList()
        expired.forEach {
            removalMillis.remove(it)
            entries.remove(it)
        }
        return expired.isNotEmpty()
    }

    private companion object {
        const val REAPPEARANCE_GRACE_MILLIS = 2_200L
    }
}
