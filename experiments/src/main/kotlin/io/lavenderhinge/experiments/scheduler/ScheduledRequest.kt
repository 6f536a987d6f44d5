package io.lavenderhinge.experiments.scheduler

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.settings.Target
import kotlinx.collections.immutable.ImmutableList

/** Prompt tokens per entry of [ScheduledRequest.prefixHashes]. */
const val PREFIX_BLOCK_TOKENS = 64

/**
 * Information about a request that an entry instance has on arrival.
 *
 * [prefixHashes] are chained: entry `i` identifies the first `(i + 1) * PREFIX_BLOCK_TOKENS` tokens
 * of the prompt, and equals the `prefixHash` of the cache event for that block. [maxOutputTokens]
 * is the limit set by the caller; the actual length is known only on completion. [deadlineMillis]
 * is absolute: when it passes, the caller closes its connection. For a plain service all token
 * counts are zero and the between-token and first-token targets are not evaluated.
 */
data class ScheduledRequest(
    val id: String,
    val workspace: String,
    val weight: Double,
    val route: String,
    val target: Target,
    val version: String,
    val tier: Tier,
    val idempotent: Boolean,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixHashes: ImmutableList<Long>,
    val arrivalMillis: Long,
    val deadlineMillis: Long,
    val targetFirstTokenMillis: Long,
    val targetBetweenTokensMillis: Long,
)
