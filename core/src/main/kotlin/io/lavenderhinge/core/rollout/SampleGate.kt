package io.lavenderhinge.core.rollout

/** A route with too few requests to let the step rise. */
data class ThinRoute(val route: String, val newRequests: Long, val oldRequests: Long)

/** No route goes untested: each route that had traffic needs samples of both versions. */
object SampleGate {
    /**
     * Requests of each version needed on each route in each step. 20 requests without a fault leave
     * a fault of one request in seven undetected in 5% of cases; smaller faults need the test.
     */
    const val MIN_SAMPLES = 20L

    /** Routes among [routes] that still lack samples in [inStep]. */
    fun thinRoutes(routes: Set<String>, inStep: Map<String, RouteCounts>): List<ThinRoute> =
        routes
            .map { route ->
                val counts = inStep[route] ?: RouteCounts()
                ThinRoute(route, counts.new.requests, counts.old.requests)
            }
            .filter { it.newRequests < MIN_SAMPLES || it.oldRequests < MIN_SAMPLES }
            .sortedBy { it.newRequests }
}
