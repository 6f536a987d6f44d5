package io.lavenderhinge.core.forwarding

/**
 * A change to [stage]. [evidence] is the strongest test result against the version, if any. [sent]
 * are the requests that all instances are known to have sent since the order.
 */
data class RolloutChange(
    val order: RolloutOrder,
    val stage: RolloutStage,
    val evidence: String?,
    val sent: SentRequests,
)
