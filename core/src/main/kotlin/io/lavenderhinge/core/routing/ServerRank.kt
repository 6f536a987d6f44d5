package io.lavenderhinge.core.routing

/**
 * Rank of a backend server for a request, for operators. The lowest [scoreMillis] is tried first.
 * [homeId] is null if no instance can be the server's home.
 */
data class ServerRank(
    val serverId: String,
    val failureDomain: String,
    val homeId: String?,
    val scoreMillis: Double,
    val expectedWaitMillis: Double,
    val ownInService: Int,
)
