package io.lavenderhinge.core.settings

/** Whether an instance has a complete settings tree. */
sealed interface Readiness {
    /** The tree was read from the platform or confirmed by a peer with a complete tree. */
    data object Ready : Readiness

    /** The tree may be incomplete; [reason] is shown at `/readyz`. */
    data class NotReady(val reason: String) : Readiness
}
