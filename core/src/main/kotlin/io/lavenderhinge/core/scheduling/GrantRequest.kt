package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Request of an entry to the home of a backend server for one slot.
 *
 * [grantRequestId] is unique per entry. A new attempt for the same caller's request gets a new id,
 * so that a late grant cannot be mistaken for the answer to a newer attempt. [deadlineMillis] and
 * [firstTokenDueMillis] refer to the home's clock. Token counts are estimates, and zero for a plain
 * service. [prefixHashes] are sampled by [PrefixHashSampling]. [mayPreempt] is set once the entry
 * has found no other home that can answer in time.
 */
data class GrantRequest(
    val grantRequestId: String,
    val entryId: String,
    val tier: Tier,
    val workspace: String,
    val weight: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val deadlineMillis: Long,
    val prefixHashes: ImmutableList<Long> = persistentListOf(),
    val firstTokenDueMillis: Long = Long.MAX_VALUE,
    val mayPreempt: Boolean = false,
) {
    /** Identifies this request at a home. */
    val key: GrantRequestKey
        get() = GrantRequestKey(entryId, grantRequestId)
}

/** Number of tokens per prefix block. */
const val PREFIX_BLOCK_TOKENS = 64
