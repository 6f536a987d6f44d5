package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * A request for one slot of a backend server.
 *
 * [askId] is unique for each ask of one entry: an entry that asks again for the same request uses a
 * new id, so a late grant cannot be mistaken for the answer to a newer ask. [deadlineMillis] and
 * [firstTokenDueMillis] are on the home's clock. Token counts are estimates and zero for a plain
 * service. [prefixHashes] are those on [PrefixHashSampling]. [mayPreempt] is set once the entry
 * found no other home that can answer in time.
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
    /** Identity of this ask at a home. */
    val key: GrantRequestKey
        get() = GrantRequestKey(entryId, grantRequestId)
}

/** Tokens covered by one prefix hash. */
const val PREFIX_BLOCK_TOKENS = 64
