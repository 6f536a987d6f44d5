package io.lavenderhinge.core.ledger

/** Why a request was not run. */
enum class NotRunReason {
    PLATFORM_UNAVAILABLE,
    WRITER_UNREACHABLE,
    DEADLINE,
    NEVER_SENT,
}

/** Why the outcome of a request is unknown. */
enum class UnknownReason {
    /** Another request with this key is being executed. */
    IN_FLIGHT,

    /** The key was reserved and its entry cannot tell what became of it. */
    IN_DOUBT,

    /** The backend server received the request and its answer was lost. */
    ANSWER_LOST,

    /** The request ran once; its answer was over the size that the ledger keeps. */
    ANSWER_NOT_KEPT,
}

/** What a caller of the ledger is told. Times are epoch milliseconds. */
sealed interface LedgerResult {
    /** This attempt ran and was answered. A repeat is recognised until [expiresAtMillis]. */
    data class Answered(val answer: LedgerAnswer, val expiresAtMillis: Long) : LedgerResult

    /** An earlier attempt with this key was answered with [answer]; nothing ran now. */
    data class Stored(val answer: LedgerAnswer, val expiresAtMillis: Long) : LedgerResult

    /** This attempt was not dispatched and never will be. */
    data class NotRun(val reason: NotRunReason, val detail: String, val retryAfterMillis: Long) :
        LedgerResult

    /** The request may have run; it is not run again under this key. */
    data class Unknown(val reason: UnknownReason, val detail: String) : LedgerResult

    /** The key belongs to a request with another body; this one was refused. */
    data object Mismatch : LedgerResult

    /** The key is older than the ledger's memory; it may have run before and is not run now. */
    data object TooOld : LedgerResult
}
