package io.lavenderhinge.core.settings

/** Whether an instance has a full tree of settings. */
sealed interface Readiness {
    /** The tree was read from the platform or confirmed by a peer that has it. */
    data object Ready : Readiness

    /** The tree may be incomplete; [reason] is shown at `/readyz`. */
    data class NotReady(val reason: String) : Readiness
}
