package io.lavenderhinge.core.ledger

/** A message between an entry and a shard writer. [callId] pairs a request with its reply. */
sealed interface LedgerMessage {
    val callId: Long

    /** A request that the writer of [shard] handles, but for [OwnerQuery]. */
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
                "a reservation's fields are printable ASCII without spaces"
            }
        }
    }

    /** Records the answer of a dispatched attempt; null when it was too large to keep. */
    data class Complete(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
        val answer: LedgerAnswer?,
    ) : Call

    /** Frees the key of an attempt that was never dispatched and never will be. */
    data class Void(
        override val callId: Long,
        override val shard: Int,
        override val key: String,
        override val attemptId: String,
    ) : Call

    /** From a shard writer to the entry that owns [attemptId]: was it dispatched? */
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
    /** The change is in the store. For a reservation: dispatch once. */
    data class Recorded(val expiresAtMillis: Long) : LedgerOutcome

    /** The key has run before; [answer] is null when it was too large to keep. */
    data class Completed(val answer: LedgerAnswer?, val expiresAtMillis: Long) : LedgerOutcome

    data object InFlight : LedgerOutcome

    data object InDoubt : LedgerOutcome

    data object Mismatch : LedgerOutcome

    data object TooOld : LedgerOutcome

    /** [writerId] is the instance that the sender takes for the writer, if any. */
    data class NotWriter(val writerId: String?) : LedgerOutcome

    data class Unavailable(val detail: String) : LedgerOutcome

    data object OwnerActive : LedgerOutcome

    data object OwnerNeverDispatched : LedgerOutcome

    data object OwnerUnknown : LedgerOutcome
}
