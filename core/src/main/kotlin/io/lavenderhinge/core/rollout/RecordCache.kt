package io.lavenderhinge.core.rollout

/**
 * The controller's copy of the records, and its pending call to the key-value service.
 *
 * After a conflict or an unknown outcome, the records are read again before the next decision. A
 * write with an unknown outcome may still take effect after that read; the next write then fails
 * with a conflict and triggers another read.
 */
internal class RecordCache(private val selfId: String) {
    private val recordsByKey = LinkedHashMap<String, StoredRecord>()
    private var callStartedMillis: Long? = null
    private var readDue = true

    /** Records by key. */
    val records: Map<String, StoredRecord>
        get() = recordsByKey

    /** True while a call is pending. A call without an answer times out and triggers a read. */
    fun isCallPending(nowMillis: Long): Boolean {
        val startedMillis = callStartedMillis ?: return false
        if (nowMillis - startedMillis < CALL_TIMEOUT_MILLIS) return true
        requireRead()
        return false
    }

    /** Marks a read as pending and returns true if one is due before the next decision. */
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

    /** Stores records that were read; returns true if another instance took over a rollout. */
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
