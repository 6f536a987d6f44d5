package io.lavenderhinge.core.rollout

/** A version stopped in one rollout. Never cleared; a repaired version needs a new rollout name. */
data class StopFlag(
    val targetName: String,
    val version: String,
    val rolloutId: String,
    val evidence: String,
)
