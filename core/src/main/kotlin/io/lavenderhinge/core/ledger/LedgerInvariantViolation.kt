package io.lavenderhinge.core.ledger

/** Thrown when an invariant of the ledger is violated. The state involved must be discarded. */
class LedgerInvariantViolation(message: String) : IllegalStateException(message)

internal inline fun checkInvariant(holds: Boolean, message: () -> String) {
    if (!holds) throw LedgerInvariantViolation(message())
}
