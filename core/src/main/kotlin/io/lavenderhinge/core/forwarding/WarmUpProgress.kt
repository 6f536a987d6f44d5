package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun

/** Tells servers that are cold again from those whose warm-up goes on. Not thread-safe. */
class WarmUpProgress {
    private val remainingMillis = HashMap<ServerRun, Long>()

    /** Returns true if the remaining time of one of [servers] is longer than in the last call. */
    fun isColdAgain(servers: Collection<ServerEntry>): Boolean {
        remainingMillis.keys.retainAll(servers.mapTo(HashSet()) { it.run })
        return servers.count { entry ->
            val previous = remainingMillis.put(entry.run, entry.warmUpRemainingMillis) ?: 0
            entry.warmUpRemainingMillis > previous
        } > 0
    }
}
