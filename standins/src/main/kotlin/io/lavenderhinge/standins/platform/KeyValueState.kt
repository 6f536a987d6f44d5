package io.lavenderhinge.standins.platform

/** A stored value; [revision] is the revision of the store after the write. */
internal data class Entry(
    val key: String,
    val value: String,
    val version: Long,
    val revision: Long,
    val lease: String?,
)

/** Result of a compare-and-swap. */
internal sealed interface CompareAndSwapResult {
    data class Written(val entry: Entry) : CompareAndSwapResult

    data class Conflict(val current: Entry?) : CompareAndSwapResult
}

/** Thread-safe state of the fake key-value service. */
internal class KeyValueState(private val nowMillis: () -> Long = System::currentTimeMillis) {
    private val entries = sortedMapOf<String, Entry>()
    private val leases = mutableMapOf<String, LeaseState>()
    private var revision = 0L
    private var lastLeaseNumber = 0L

    private class LeaseState(val timeToLiveMillis: Long, var expiresAtMillis: Long)

    @Synchronized
    fun get(key: String): Entry? {
        removeExpiredLeases()
        return entries[key]
    }

    @Synchronized
    fun list(prefix: String): List<Entry> {
        removeExpiredLeases()
        return entries.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }
    }

    @Synchronized
    fun changes(prefix: String, after: Long): Pair<List<Entry>, Long> {
        val changed = list(prefix).filter { it.revision > after }.sortedBy { it.revision }
        return changed to revision
    }

    @Synchronized
    fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        lease: String?,
    ): CompareAndSwapResult {
        removeExpiredLeases()
        val current = entries[key]
        if ((current?.version ?: 0L) != expectedVersion)
            return CompareAndSwapResult.Conflict(current)
        if (lease != null && lease !in leases) return CompareAndSwapResult.Conflict(current)
        revision++
        // The store-wide revision serves as version, so that the version of a key that is removed
        // and created again still increases.
        val entry = Entry(key, value, revision, revision, lease)
        entries[key] = entry
        return CompareAndSwapResult.Written(entry)
    }

    @Synchronized
    fun grantLease(timeToLiveMillis: Long): String {
        val id = "lease-${++lastLeaseNumber}"
        leases[id] = LeaseState(timeToLiveMillis, nowMillis() + timeToLiveMillis)
        return id
    }

    /** Renews a lease and returns its time to live, or null if it has expired. */
    @Synchronized
    fun renewLease(id: String): Long? {
        removeExpiredLeases()
        val lease = leases[id] ?: return null
        lease.expiresAtMillis = nowMillis() + lease.timeToLiveMillis
        return lease.timeToLiveMillis
    }

    private fun removeExpiredLeases() {
        val now = nowMillis()
        val expired = leases.filterValues { it.expiresAtMillis <= now }.keys.toSet()
        if (expired.isEmpty()) return
        leases.keys.removeAll(expired)
        entries.values.removeIf { it.lease in expired }
        revision++
    }
}
