package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/** State of a home as gossiped to entries. [sequence] increases with every summary of a home. */
data class HomeSummary(
    val serverId: String,
    val expectedWaitMillis: Long,
    val freeSlots: Int,
    val lowestOpenTier: Tier,
    val sequence: Long,
)
