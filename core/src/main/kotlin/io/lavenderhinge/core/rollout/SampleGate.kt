package io.lavenderhinge.core.rollout

/** A route with too few requests to let the step rise. */
data class UndersampledRoute(val route: String, val newRequests: Long, val oldRequests: Long)

/** No route goes untested: each route that had traffic needs samples of both versions. */
object SampleGate {
    /**
     * Requests of each version needed on each route in each step. 20 requests without a fault leave
     * a fault of one request in seven undetected in 5% of cases; smaller faults need the test.
     */
    const val MIN_SAMPLES = 20L

    /** Routes among [routes] that still lack samples in [stepTotals]. */
    fun undersampledRoutes(
        routes: Set<String>,
        stepTotals: Map<String, RouteCounts>,
    ): List<UndersampledRoute> =
        routes
            .map { route ->
                val counts = stepTotals[route] ?: RouteCounts()
                UndersampledRoute(route, counts.new.requests, counts.old.requests)
            }
            .filter { it.newRequests < MIN_SAMPLES || it.oldRequests < MIN_SAMPLES }
            .sortedBy { it.newRequests }
}
