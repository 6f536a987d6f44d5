package io.lavenderhinge.core.ledger

/** Why a request was not run. */
enum class NotRunReason {
    PLATFORM_UNAVAILABLE,
    WRITER_UNREACHABLE,
    DEADLINE,
    NEVER_SENT,
}

/** Why the outcome of a request cannot be reported. */
enum class UnknownReason {
    /** Another request with this key is being executed. */
    IN_FLIGHT,

    /** The key was reserved, and its entry cannot be reached or does not know the attempt. */
    IN_DOUBT,

    /** The backend server received the request and its answer was lost. */
    ANSWER_LOST,

    /** The request ran once; its answer exceeded the size that the ledger stores. */
    ANSWER_NOT_KEPT,
}

/** The result of a ledger request, returned to its caller. Times are in epoch milliseconds. */
sealed interface LedgerResult {
    /**
     * This attempt ran and was answered. Repeats of the key are recognised until [expiresAtMillis].
     */
    data class Answered(val answer: LedgerAnswer, val expiresAtMillis: Long) : LedgerResult

    /** An earlier attempt with this key was answered with [answer]; nothing ran now. */
    data class Stored(val answer: LedgerAnswer, val expiresAtMillis: Long) : LedgerResult

    /** This attempt was not dispatched and never will be. */
    data class NotRun(val reason: NotRunReason, val detail: String, val retryAfterMillis: Long) :
        LedgerResult

    /** The request may have run. It is not run again under this key. */
    data class Unknown(val reason: UnknownReason, val detail: String) : LedgerResult

    /** The key was used for a request with a different body; this request was rejected. */
    data object Mismatch : LedgerResult

    /**
     * The key was created before the shard's horizon. The request may have run earlier and is not
     * run now.
     */
    data object TooOld : LedgerResult
}
