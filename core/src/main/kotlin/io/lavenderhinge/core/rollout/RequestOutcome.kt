package io.lavenderhinge.core.rollout

/** How a request to a version ended, as far as it says something about the version. */
sealed interface RequestOutcome {
    /**
     * The request was answered. [latencyMillis] is the time to first token for a model and the time
     * to the complete answer for a service.
     */
    data class Answered(val latencyMillis: Long) : RequestOutcome

    /** The backend server failed the request: 5xx, reset or a broken stream. */
    data object Failed : RequestOutcome

    /** No answer within the request's time; counts as an error and as slow. */
    data object TimedOut : RequestOutcome
}
