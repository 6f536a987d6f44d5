package io.lavenderhinge.core.ledger

/** A broken invariant of the ledger. The state that broke it must not be used further. */
class LedgerInvariantViolation(message: String) : IllegalStateException(message)

internal inline fun checkInvariant(holds: Boolean, message: () -> String) {
    if (!holds) throw LedgerInvariantViolation(message())
}
