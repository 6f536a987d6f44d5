package io.lavenderhinge.core.ledger

/** A store operation under way. A shard has at most one at a time. */
internal sealed interface WriterOperation {
    val startedAtMillis: Long

    fun isWaitingFor(callId: Long): Boolean

    /**
     * Reads the head. [mismatchedVersion] is the head version with a missing segment that caused
     * this read, if any.
     */
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

    /**
     * Performs [write]. If its reply is lost, the key is read back by the call [readBackId] before
     * a retry; [retries] is the number of retries so far.
     */
    sealed class Writing(
        override val startedAtMillis: Long,
        val write: StoreCall.Write,
        val retries: Int,
        val readBackId: Long?,
    ) : WriterOperation {
        override fun isWaitingFor(callId: Long) = callId == (readBackId ?: write.callId)

        /** This operation with another write call or with a read-back. */
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
