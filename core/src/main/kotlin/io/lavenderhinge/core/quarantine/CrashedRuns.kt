package io.lavenderhinge.core.quarantine

import io.lavenderhinge.core.LruMap
import io.lavenderhinge.core.ServerRun

/**
 * Tells the runs of a server apart where its registration does not state its start. Connections
 * that break within [SAME_CRASH_MILLIS] belong to one crash; a later one ends another run.
 */
class CrashedRuns {
    private class LastCrash(val run: ServerRun, val crashedMillis: Long)

    private val lastCrashes = LruMap<String, LastCrash>(MAX_SERVERS)

    /** Returns the run of [serverId] that a connection broken at [nowMillis] belonged to. */
    fun onCrash(serverId: String, nowMillis: Long): ServerRun {
        val last = lastCrashes[serverId]
        if (last != null && nowMillis - last.crashedMillis < SAME_CRASH_MILLIS) return last.run
        val run = ServerRun(serverId, startedMillis = last?.crashedMillis ?: 0)
        lastCrashes[serverId] = LastCrash(run, nowMillis)
        return run
    }

    private companion object {
        const val SAME_CRASH_MILLIS = 1_000L
        const val MAX_SERVERS = 1_024
    }
}
