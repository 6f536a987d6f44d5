package io.lavenderhinge.core.ledger

/** The outcome of the single dispatch of an attempt. */
sealed interface DispatchOutcome {
    /** The backend server answered. The answer is recorded regardless of its status. */
    data class Answered(val answer: LedgerAnswer) : DispatchOutcome

    /** Nothing was sent to a backend server, so the key can be released. */
    data class NeverSent(val detail: String) : DispatchOutcome

    /** The request was sent at least in part and no complete answer was received. */
    data class Lost(val detail: String) : DispatchOutcome
}
