package io.lavenderhinge.core.rollout

/** A route with too few requests in the current step. */
data class UndersampledRoute(val route: String, val newRequests: Long, val oldRequests: Long)

/** Requires samples of both versions on each route with traffic before a step can end. */
object SampleGate {
    /**
     * Requests of each version required on each route in each step. With 20 requests, a fault that
     * affects one request in seven goes unnoticed in 5% of cases; smaller faults are left to the
     * test.
     */
    const val MIN_SAMPLES = 20L

    /** Returns the routes of [routes] with too few samples in [stepTotals]. */
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
