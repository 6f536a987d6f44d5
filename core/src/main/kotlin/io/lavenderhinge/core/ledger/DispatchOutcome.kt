package io.lavenderhinge.core.ledger

/** How the single dispatch of an attempt ended. */
sealed interface DispatchOutcome {
    /** The backend server answered; the answer is recorded whatever its status. */
    data class Answered(val answer: LedgerAnswer) : DispatchOutcome

    /** Nothing was sent to any backend server, so the key may be used again. */
    data class NeverSent(val detail: String) : DispatchOutcome

    /** Something was sent and no complete answer came back. */
    data class Lost(val detail: String) : DispatchOutcome
}
