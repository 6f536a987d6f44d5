package io.lavenderhinge.core.rollout

/**
 * Marks a version as stopped in one rollout. A flag is never removed; a fixed version needs a new
 * rollout name.
 */
data class StopFlag(
    val targetName: String,
    val version: String,
    val rolloutId: String,
    val evidence: String,
)
