package io.lavenderhinge.core.ledger

/** A message between an entry and a shard writer. [callId] matches a reply to its request. */
sealed interface LedgerMessage {
    val callId: Long

    /** A request handled by the writer of [shard]; an [OwnerQuery] is handled by an entry. */
    sealed interface Call : LedgerMessage {
        val shard: Int
        val key: String
        val attemptId: String
    }

    /** Records the intent to run [key]; a null [keyTimeMillis] lets the writer choose the time. */
    data class Reserve(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
        val keyTimeMillis: Long?,
        val retentionMillis: Long,
        val bodyHash: String,
        val entryId: String,
    ) : Call {
        init {
            require(listOf(key, attemptId, bodyHash, entryId).all(::isRecordField)) {
                "the fields of a reservation must be printable ASCII without spaces"
            }
        }
    }

    /**
     * Records the answer to a dispatched attempt; [answer] is null if it was too large to store.
     */
    data class Complete(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
        val answer: LedgerAnswer?,
    ) : Call

    /** Releases the key of an attempt that was not dispatched and never will be. */
    data class Void(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
    ) : Call

    /**
     * Sent by a shard writer to the entry that owns [attemptId], to ask whether it was dispatched.
     */
    data class OwnerQuery(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
    ) : Call

    data class Reply(override val callId: Long, val outcome: LedgerOutcome) : LedgerMessage
}

/** The content of a reply. */
sealed interface LedgerOutcome {
    /** The change is in the store. After a reservation the entry may dispatch the attempt once. */
    data class Recorded(val expiresAtMillis: Long) : LedgerOutcome

    /** The request with this key already ran; [answer] is null if it was too large to store. */
    data class Completed(val answer: LedgerAnswer?, val expiresAtMillis: Long) : LedgerOutcome

    data object InFlight : LedgerOutcome

    data object InDoubt : LedgerOutcome

    data object Mismatch : LedgerOutcome

    data object TooOld : LedgerOutcome

    /** [writerId] is the instance that the sender selects as the writer, if any. */
    data class NotWriter(val writerId: String?) : LedgerOutcome

    data class Unavailable(val detail: String) : LedgerOutcome

    data object OwnerActive : LedgerOutcome

    data object OwnerNeverDispatched : LedgerOutcome

    data object OwnerUnknown : LedgerOutcome
}
