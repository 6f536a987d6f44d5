package io.lavenderhinge.core.ledger

/** What a writer waits for from the store; it does one thing at a time. */
internal sealed interface WriterOperation {
    val startedAtMillis: Long

    fun isWaitingFor(callId: Long): Boolean

    /** Reads the head; [mismatchedVersion] is the head version whose segment was not found. */
    class ReadingHead(
        override val startedAtMillis: Long,
        private val callId: Long,
        val mismatchedVersion: Long?,
    ) : WriterOperation {
        override fun isWaitingFor(callId: Long) = callId == this.callId
    }

    class ReadingSegments(override val startedAtMillis: Long, val reads: SegmentReads) :
        WriterOperation {
        override fun isWaitingFor(callId: Long) = reads.isWaitingFor(callId)
    }

    /** Writes [write]; after a lost answer the key is read back and [retries] counts. */
    sealed class Writing(
        override val startedAtMillis: Long,
        val write: StoreCall.Write,
        val retries: Int,
        val readBackId: Long?,
    ) : WriterOperation {
        override fun isWaitingFor(callId: Long) = callId == (readBackId ?: write.callId)

        /** The same write under another call, or its read-back. */
        abstract fun withCall(write: StoreCall.Write, retries: Int, readBackId: Long?): Writing
    }

    class WritingHead(
        startedAtMillis: Long,
        write: StoreCall.Write,
        val commit: Commit,
        retries: Int = 0,
        readBackId: Long? = null,
    ) : Writing(startedAtMillis, write, retries, readBackId) {
        override fun withCall(write: StoreCall.Write, retries: Int, readBackId: Long?) =
            WritingHead(startedAtMillis, write, commit, retries, readBackId)
    }

    class WritingSegment(
        startedAtMillis: Long,
        write: StoreCall.Write,
        val segment: PreparedSegment,
        retries: Int = 0,
        readBackId: Long? = null,
    ) : Writing(startedAtMillis, write, retries, readBackId) {
        override fun withCall(write: StoreCall.Write, retries: Int, readBackId: Long?) =
            WritingSegment(startedAtMillis, write, segment, retries, readBackId)
    }
}
