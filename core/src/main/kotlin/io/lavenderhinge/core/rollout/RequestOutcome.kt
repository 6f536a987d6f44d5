package io.lavenderhinge.core.rollout

/** Outcome of a request, as far as it reflects on the version that served it. */
sealed interface RequestOutcome {
    /**
     * The request completed. [latencyMillis] is the time to first token for a model and the time to
     * the complete response for a service.
     */
    data class Answered(val latencyMillis: Long) : RequestOutcome

    /** The backend server failed the request with a 5xx, a reset or a broken stream. */
    data object Failed : RequestOutcome

    /** No response within the deadline of the request; counts as an error and as slow. */
    data object TimedOut : RequestOutcome
}
