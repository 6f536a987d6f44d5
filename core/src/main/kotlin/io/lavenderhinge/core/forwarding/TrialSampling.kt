package io.lavenderhinge.core.forwarding

import io.lavenderhinge.core.rollout.RouteCounts

/**
 * Chooses the requests that a version gets during its trial.
 *
 * Every route gets its part of the sample, because a version may be faulty on a single one. A route
 * on which the version is suspected to fail gets more, so that a few requests soon show whether the
 * version was the cause. Not thread-safe.
 */
internal class TrialSampling {
    private class Sample {
        var requests = 0
        var onTarget = 0

        fun add(isOnTarget: Boolean) {
            requests++
            if (isOnTarget) onTarget++
        }
    }

    private val total = Sample()
    private val routes = HashMap<String, Sample>()
    /** Requests of the suspected routes since they are suspected. */
    private val suspects = HashMap<String, Sample>()
    /** Counts of all instances by route. */
    private val fleetCounts = HashMap<String, RouteCounts>()
    private var releasedSlack = 0.0

    /** Adds the outcomes of requests of [route] on any instance. */
    fun onCounted(route: String, counts: RouteCounts) {
        fleetCounts.merge(route, counts, RouteCounts::plus)
    }

    /** Updates the time since the order and the routes on which the version may fail. */
    fun advance(elapsedFraction: Double, suspectedRoutes: Set<String>) {
        releasedSlack =
            SLACK_REQUESTS * (elapsedFraction / SLACK_RELEASE_FRACTION).coerceAtMost(1.0)
        suspects.keys.retainAll(suspectedRoutes)
        suspectedRoutes.forEach { suspects.getOrPut(it, ::Sample) }
    }

    /** Returns true if the sample needs a request of [route]. */
    fun needs(route: String, instanceCount: Int): Boolean {
        val suspect = suspects[route]
        if (suspect != null) return suspect.onTarget <= SUSPECT_FRACTION * suspect.requests
        val share = RolloutStage.TRIAL.shareFraction
        val sample = routes[route] ?: Sample()
        val slack = releasedSlack / instanceCount.coerceAtLeast(1)
        return isDue(route) &&
            sample.onTarget < share * (sample.requests + 1) + 1 &&
            total.onTarget < share * (total.requests + 1) + slack
    }

    /** Counts a request of [route] that uses the target version or another one. */
    fun add(route: String, usesTarget: Boolean) {
        total.add(usesTarget)
        routes.getOrPut(route, ::Sample).add(usesTarget)
        suspects[route]?.add(usesTarget)
    }

    // Compares with the sample that the route would have by its part of the requests.
    private fun isDue(route: String): Boolean {
        val counts = fleetCounts[route] ?: return true
        val requests = fleetCounts.values.sumOf { it.old.requests + it.new.requests }
        val sampled = fleetCounts.values.sumOf { it.new.requests }
        val routeRequests = counts.old.requests + counts.new.requests
        return counts.new.requests < sampled * routeRequests.toDouble() / requests + 1
    }

    private companion object {
        /** Requests that the fleet may send to the version in excess of the trial fraction. */
        const val SLACK_REQUESTS = 16
        /** Time, as a fraction of the duration, over which they are sent. */
        const val SLACK_RELEASE_FRACTION = 0.2
        /** Fraction of the requests of a suspected route that the version gets. */
        const val SUSPECT_FRACTION = 0.25
    }
}
