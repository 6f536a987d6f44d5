package io.lavenderhinge.core.forwarding

import kotlin.random.Random

/**
 * What this instance may admit of each quota before it learns what its peers admit meanwhile.
 *
 * Requests that have waited for a start are decided at the same moment on all instances. If each
 * instance admitted up to the level that all of them see, a fleet would admit a multiple of it.
 */
internal class QuotaSlices(private val random: Random) {
    private val remaining = HashMap<String, Double>()

    /** Replaces what is left of the slice of [workspace]. */
    fun renew(workspace: String, cost: Double) {
        remaining[workspace] = cost
    }

    /** Sets the first slice of [workspace]; later calls have no effect. */
    fun grantOnce(workspace: String, cost: Double) {
        remaining.putIfAbsent(workspace, cost)
    }

    /** Takes [cost] from the slice of [workspace] if it suffices. */
    fun tryTake(workspace: String, cost: Double): Boolean {
        val slice = remaining[workspace] ?: return false
        if (slice < cost) return false
        remaining[workspace] = slice - cost
        return true
    }

    /**
     * Takes [cost] from the slice of [workspace]. A slice that is too small is spent and suffices
     * with the probability that keeps the expected cost within it; otherwise a large fleet, whose
     * slices are smaller than a request, would admit nothing.
     */
    fun tryTakeOrSpend(workspace: String, cost: Double): Boolean {
        if (tryTake(workspace, cost)) return true
        val slice = remaining.put(workspace, 0.0) ?: return false
        return random.nextDouble() * cost < slice
    }
}
