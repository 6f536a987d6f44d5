package io.lavenderhinge.core.scheduling

/**
 * Invariant checks that stay enabled in production, where [onViolation] logs and counts. In tests
 * and experiments it throws.
 */
class Invariants(private val onViolation: (String) -> Unit = { error(it) }) {
    /** Calls [onViolation] with [detail] if [holds] is false. */
    fun check(holds: Boolean, detail: () -> String) {
        if (!holds) onViolation(detail())
    }
}
