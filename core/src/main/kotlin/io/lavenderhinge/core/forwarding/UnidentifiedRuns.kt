package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.ServerRun

/**
 * The runs of servers that have sent a response which does not identify its request. Such a
 * response can be attributed only if it is the first one on its connection, so the connections of
 * these servers are not used again.
 */
class UnidentifiedRuns {
    private val runs = HashSet<ServerRun>()

    /** Records a response without an id; returns true for the first one of [run]. */
    fun onUnidentified(run: ServerRun): Boolean = runs.add(run)

    /** Forgets all runs that are not [present]. */
    fun retain(present: Set<ServerRun>) {
        runs.retainAll(present)
    }

    operator fun contains(run: ServerRun): Boolean = run in runs
}
