package io.lavenderhinge.experiments.rollout

import kotlin.random.Random

/** Behaviour of the new version in a run. */
enum class VersionKind(val bad: Boolean) {
    GOOD(false),
    GOOD_WITH_BURSTS(false),
    ERRORS_AT_ONCE(true),
    FEW_ERRORS_AT_ONCE(true),
    ERRORS_LATER(true),
    SLOW_AT_ONCE(true),
    SLOW_LATER(true),
    ERRORS_UNDER_LOAD(true),
    SLOW_UNDER_LOAD(true),
    ERRORS_ON_ONE_ROUTE(true),
    SLOW_ON_ONE_ROUTE(true),
}

/** A fault of the new version and the conditions under which it occurs. */
class Fault(
    private val errorFraction: Double = 0.0,
    val latencyFactor: Double = 1.0,
    private val onsetSeconds: Long = 0,
    private val minLoad: Double = 0.0,
    private val route: String? = null,
) {
    fun isActive(seconds: Long, load: Double, requestRoute: String): Boolean =
        seconds >= onsetSeconds && load >= minLoad && (route == null || route == requestRoute)

    fun failsRequest(random: Random): Boolean =
        errorFraction > 0 && random.nextDouble() < errorFraction

    companion object {
        private const val MIN_ONSET_SECONDS = 300L
        private const val MAX_ONSET_SECONDS = 3_600L
        private const val HIGH_LOAD = 0.8

        /** Returns the fault of [kind], or null for a good version. */
        fun of(kind: VersionKind, deployment: Deployment, random: Random): Fault? {
            val onset = random.nextLong(MIN_ONSET_SECONDS, MAX_ONSET_SECONDS)
            val leastUsedRoute = deployment.routes.minBy { it.trafficFraction }.name
            return when (kind) {
                VersionKind.GOOD,
                VersionKind.GOOD_WITH_BURSTS -> null
                VersionKind.ERRORS_AT_ONCE -> Fault(errorFraction = 0.3)
                VersionKind.FEW_ERRORS_AT_ONCE -> Fault(errorFraction = 0.03)
                VersionKind.ERRORS_LATER -> Fault(errorFraction = 0.3, onsetSeconds = onset)
                VersionKind.SLOW_AT_ONCE -> Fault(latencyFactor = 2.0)
                VersionKind.SLOW_LATER -> Fault(latencyFactor = 2.0, onsetSeconds = onset)
                VersionKind.ERRORS_UNDER_LOAD -> Fault(errorFraction = 0.3, minLoad = HIGH_LOAD)
                VersionKind.SLOW_UNDER_LOAD -> Fault(latencyFactor = 2.0, minLoad = HIGH_LOAD)
                VersionKind.ERRORS_ON_ONE_ROUTE ->
                    Fault(errorFraction = 0.3, route = leastUsedRoute)
                VersionKind.SLOW_ON_ONE_ROUTE -> Fault(latencyFactor = 2.0, route = leastUsedRoute)
            }
        }
    }
}
