package io.lavenderhinge.core.routing

/**
 * How a backend server ranks for a request now, for operators. The lowest [scoreMillis] is asked
 * first; [homeId] is null when no instance can be its home.
 */
data class ServerRank(
    val serverId: String,
    val failureDomain: String,
    val homeId: String?,
    val scoreMillis: Double,
    val expectedWaitMillis: Double,
    val ownInService: Int,
)
