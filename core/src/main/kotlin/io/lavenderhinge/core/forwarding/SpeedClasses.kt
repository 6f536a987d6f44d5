package io.lavenderhinge.core.forwarding

/**
 * Tells the slow servers of a pool from the others, so that instances agree on it although each
 * measures the speed of servers itself.
 *
 * The measured factors of one server differ between instances and over time, as a machine is slower
 * for a moment. A server changes its class only if its factor is far beyond the limit.
 */
internal class SpeedClasses {
    private val slowServers = HashSet<ULong>()

    /** Compares the current factors of [records]; returns true if a class has changed. */
    fun update(records: Collection<ServerRecord>): Boolean {
        if (records.isEmpty()) return false
        val usual = records.map { it.latencyFactor }.sorted()[records.size / QUARTER]
        val slow =
            records.filter {
                val limit = if (isSlow(it)) LEAVING_FACTOR else ENTERING_FACTOR
                it.latencyFactor > limit * usual
            }
        val hashes = slow.mapTo(HashSet()) { it.idHash }
        if (hashes == slowServers) return false
        slowServers.clear()
        slowServers.addAll(hashes)
        return true
    }

    /** Returns true if [record] takes several times as long as the usual server. */
    fun isSlow(record: ServerRecord): Boolean = record.idHash in slowServers

    private companion object {
        /** The faster servers differ little from each other; a quarter of all is enough of them. */
        const val QUARTER = 4
        /** Machines that are shared with others take 2.5 times as long for a moment. */
        const val ENTERING_FACTOR = 2.5
        const val LEAVING_FACTOR = 1.7
    }
}
