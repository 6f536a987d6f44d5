package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.settings.Target
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A request that needs a slot on any backend server of [target] with [version].
 *
 * [requestId] is unique. Token counts are estimates and zero for a plain service. [prefixHashes]
 * are the hashes of the prompt's leading blocks of 64 tokens, each covering all blocks before it.
 * [deadlineMillis] is when the complete answer is due, on this instance's clock,
 * [firstTokenDueMillis] when the first token should arrive. A suspended request names the only
 * backend server that can resume it in [onlyServerId]. [attempt] counts earlier dispatches that
 * failed before anything was sent; they are charged to the workspace's retry budget.
 */
data class SlotRequest(
    val requestId: String,
    val target: Target,
    val version: String,
    val tier: Tier,
    val workspace: String,
    val weight: Double,
    val deadlineMillis: Long,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val prefixHashes: ImmutableList<Long> = persistentListOf(),
    val firstTokenDueMillis: Long = Long.MAX_VALUE,
    val onlyServerId: String? = null,
    val attempt: Int = 0,
)
