package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/** Tiers below [tier] are closed until [untilMillis]. */
internal data class TierClosure(
    private val tier: Tier = Tier.BATCH,
    private val untilMillis: Long = 0,
) {
    fun lowestOpenTier(nowMillis: Long): Tier = if (nowMillis < untilMillis) tier else Tier.BATCH
}
