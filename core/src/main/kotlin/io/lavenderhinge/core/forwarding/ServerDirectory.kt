package io.lavenderhinge.core.forwarding

/**
 * Knows which backend servers exist.
 *
 * Entries may lapse in the store while it is away although their servers live. They are back within
 * [REAPPEARANCE_GRACE_MILLIS] of its return, so an entry that is missing then is kept that long. An
 * entry that goes missing at any other time is gone at once. Confined to one thread.
 */
class ServerDirectory {
    private val entries = LinkedHashMap<String, ServerEntry>()
    private val removalMillis = HashMap<String, Long>()
    private var isStoreUnavailable = false
    private var storeReturnedMillis: Long? = null

    /** Servers to use now. */
    val servers: List<ServerEntry>
        get() = entries.values.toList()

    /** A call to the store failed. */
    fun onStoreUnavailable() {
        isStoreUnavailable = true
    }

    /** A call to the store succeeded. */
    fun onStoreAvailable(nowMillis: Long) {
        if (isStoreUnavailable) storeReturnedMillis = nowMillis
        isStoreUnavailable = false
    }

    /** Replaces all entries by those that the store holds. */
    fun onSnapshot(listed: List<ServerEntry>, nowMillis: Long) {
        val ids = listed.mapTo(HashSet()) { it.id }
        entries.keys.filter { it !in ids }.forEach { onRemoved(it, nowMillis) }
        listed.forEach(::onWritten)
    }

    /** An entry was written. */
    fun onWritten(entry: ServerEntry) {
        removalMillis.remove(entry.id)
        entries[entry.id] = entry
    }

    /** An entry was removed, or is no longer readable. */
    fun onRemoved(id: String, nowMillis: Long) {
        val returnedMillis = storeReturnedMillis
        if (returnedMillis == null || nowMillis - returnedMillis > REAPPEARANCE_GRACE_MILLIS) {
            entries.remove(id)
            removalMillis.remove(id)
            return
        }
        if (id in entries) removalMillis.putIfAbsent(id, returnedMillis + REAPPEARANCE_GRACE_MILLIS)
    }

    /** Drops entries that did not come back; true when there were any. */
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
