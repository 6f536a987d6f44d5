package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier

/** State of a home. Lists have one element per tier, highest tier first. */
data class HomeStatus(
    val waiting: List<Int>,
    val inService: Int,
    val foreign: Int,
    val capacity: Int,
    val contextTokens: Long,
    val contextTokenLimit: Long,
    val expectedWaitMillis: List<Long>,
    val lowestOpenTier: Tier,
)
