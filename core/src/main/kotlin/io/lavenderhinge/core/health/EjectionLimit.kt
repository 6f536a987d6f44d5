package io.lavenderhinge.core.health

/**
 * Limits how much of a pool one instance removes on its own evidence.
 *
 * When most servers of a pool seem to fail at once, the cause is more likely this instance's
 * network or a caller's requests than the servers. Servers that say themselves that they leave do
 * not count.
 */
internal object EjectionLimit {
    private const val MAX_DEAD_FRACTION = 0.5

    fun mayEject(pool: List<ServerHealth>): Boolean {
        val present = pool.filter { it.state != ServerState.LEAVING }
        val deadAfter = present.count { it.state == ServerState.DEAD } + 1
        return deadAfter <= present.size * MAX_DEAD_FRACTION
    }

    /** A list that shows no server of a pool any more is more likely wrong than right. */
    fun mayUnlist(pool: List<ServerHealth>, unlisted: ServerHealth): Boolean =
        pool.any { it !== unlisted && it.state != ServerState.LEAVING }
}
