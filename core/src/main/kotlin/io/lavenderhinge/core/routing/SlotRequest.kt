package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.settings.Target
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A request that needs a slot on any backend server of [target] with [version].
 *
 * [requestId] is unique. Token counts are estimates, and zero for a plain service. [prefixHashes]
 * are the hashes of the leading 64-token blocks of the prompt; each covers all preceding blocks. On
 * the clock of this instance, [deadlineMillis] is when the complete answer is due and
 * [firstTokenDueMillis] when the first token should arrive. For a suspended request, [onlyServerId]
 * is the only backend server that can resume it. [attempt] counts earlier dispatches that failed
 * before anything was sent; they are charged to the retry budget of the workspace.
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
