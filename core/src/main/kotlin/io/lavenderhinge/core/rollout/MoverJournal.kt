package io.lavenderhinge.core.rollout

/**
 * The mover's copy of the records and its write in flight.
 *
 * After a lost answer or a conflict nothing is decided until the records were read back. A write
 * whose answer was lost may still take effect after that: the next write then has a conflict, and
 * the records are read once more.
 */
internal class MoverJournal(private val selfId: String) {
    private val byKey = LinkedHashMap<String, StoredRecord>()
    private var callSinceMillis: Long? = null
    private var readDue = true

    /** Records by key. */
    val records: Map<String, StoredRecord>
        get() = byKey

    /** True while a call is in flight; a call without an answer is given up after a while. */
    fun busy(nowMillis: Long): Boolean {
        val since = callSinceMillis ?: return false
        if (nowMillis - since < CALL_TIMEOUT_MILLIS) return true
        readAgain()
        return false
    }

    /** True when the records must be read before the next decision. */
    fun takeReadDue(nowMillis: Long): Boolean {
        if (!readDue) return false
        callSinceMillis = nowMillis
        return true
    }

    fun readAgain() {
        readDue = true
        callSinceMillis = null
    }

    fun abandonCall() {
        callSinceMillis = null
    }

    fun write(record: RolloutRecord, expectedVersion: Long, nowMillis: Long): MoverEffect {
        callSinceMillis = nowMillis
        return MoverEffect.WriteRecord(record.copy(moverId = selfId), expectedVersion)
    }

    fun written(event: MoverEvent.Written) {
        callSinceMillis = null
        keepNewer(StoredRecord(event.record, event.version))
    }

    /** Takes what was read; returns true when another instance has taken a rollout over. */
    fun read(read: List<StoredRecord>): Boolean {
        readDue = false
        callSinceMillis = null
        return read.map(::keepNewer).any { it }
    }

    private fun keepNewer(stored: StoredRecord): Boolean {
        val key = stored.record.plan.recordKey
        val known = byKey[key]
        if (known != null && known.version >= stored.version) return false
        byKey[key] = stored
        return known?.record?.moverId == selfId && stored.record.moverId != selfId
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 5_000L
    }
}
