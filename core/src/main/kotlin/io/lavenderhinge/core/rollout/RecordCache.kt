package io.lavenderhinge.core.rollout

/**
 * The mover's copy of the records and its write in flight.
 *
 * After a lost answer or a conflict nothing is decided until the records were read back. A write
 * whose answer was lost may still take effect after that: the next write then has a conflict, and
 * the records are read once more.
 */
internal class RecordCache(private val selfId: String) {
    private val recordsByKey = LinkedHashMap<String, StoredRecord>()
    private var callStartedMillis: Long? = null
    private var readDue = true

    /** Records by key. */
    val records: Map<String, StoredRecord>
        get() = recordsByKey

    /** True while a call is in flight; a call without an answer is given up after a while. */
    fun isCallPending(nowMillis: Long): Boolean {
        val startedMillis = callStartedMillis ?: return false
        if (nowMillis - startedMillis < CALL_TIMEOUT_MILLIS) return true
        requireRead()
        return false
    }

    /** True when the records must be read before the next decision. */
    fun startDueRead(nowMillis: Long): Boolean {
        if (!readDue) return false
        callStartedMillis = nowMillis
        return true
    }

    fun requireRead() {
        readDue = true
        callStartedMillis = null
    }

    fun abandonCall() {
        callStartedMillis = null
    }

    fun startWrite(
        record: RolloutRecord,
        expectedVersion: Long,
        nowMillis: Long,
    ): ControllerEffect {
        callStartedMillis = nowMillis
        return ControllerEffect.WriteRecord(record.copy(controllerId = selfId), expectedVersion)
    }

    fun onWritten(event: ControllerEvent.RecordWritten) {
        callStartedMillis = null
        storeIfNewer(StoredRecord(event.record, event.version))
    }

    /** Takes what was read; returns true when another instance has taken a rollout over. */
    fun onRead(stored: List<StoredRecord>): Boolean {
        readDue = false
        callStartedMillis = null
        return stored.map(::storeIfNewer).any { it }
    }

    private fun storeIfNewer(stored: StoredRecord): Boolean {
        val key = stored.record.plan.recordKey
        val known = recordsByKey[key]
        if (known != null && known.version >= stored.version) return false
        recordsByKey[key] = stored
        return known?.record?.controllerId == selfId && stored.record.controllerId != selfId
    }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 5_000L
    }
}
