package io.lavenderhinge.core.forwarding

/** A change to [stage]. [evidence] is the strongest test result against the version, if any. */
data class RolloutChange(val order: RolloutOrder, val stage: RolloutStage, val evidence: String?)
