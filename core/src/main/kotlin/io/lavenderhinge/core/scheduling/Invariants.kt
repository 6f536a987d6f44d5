package io.lavenderhinge.core.scheduling

/**
 * Checks that stay on in production. [onViolation] logs and counts there, and throws in tests and
 * experiments.
 */
class Invariants(private val onViolation: (String) -> Unit = { error(it) }) {
    /** Reports [detail] when [holds] is false. */
    fun check(holds: Boolean, detail: () -> String) {
        if (!holds) onViolation(detail())
    }
}
