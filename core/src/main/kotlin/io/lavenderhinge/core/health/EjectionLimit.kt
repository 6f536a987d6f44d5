package io.lavenderhinge.core.health

/**
 * Limits the fraction of a pool that one instance ejects based on its own observations.
 *
 * If most servers of a pool seem to fail at once, the cause is more likely the network of this
 * instance or a caller's requests than the servers. Servers that announced that they are leaving do
 * not count.
 */
internal object EjectionLimit {
    private const val MAX_DEAD_FRACTION = 0.5

    fun mayEject(pool: List<ServerHealth>): Boolean {
        val present = pool.filter { it.state != ServerState.LEAVING }
        val deadAfter = present.count { it.state == ServerState.DEAD } + 1
        return deadAfter <= present.size * MAX_DEAD_FRACTION
    }

    /** Keeps the last server of a pool: an empty pool in the live list is more likely an error. */
    fun mayUnlist(pool: List<ServerHealth>, unlisted: ServerHealth): Boolean =
        pool.any { it !== unlisted && it.state != ServerState.LEAVING }
}
