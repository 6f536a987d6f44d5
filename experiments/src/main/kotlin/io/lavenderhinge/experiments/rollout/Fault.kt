package io.lavenderhinge.experiments.rollout

import kotlin.random.Random

/** A kind of new version. */
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

/** What the new version does wrong, and when. */
class Fault(
    private val errorFraction: Double = 0.0,
    private val slowdown: Double = 1.0,
    private val beginSeconds: Long = 0,
    private val minLoad: Double = 0.0,
    private val route: String? = null,
) {
    fun active(seconds: Long, load: Double, onRoute: String): Boolean =
        seconds >= beginSeconds && load >= minLoad && (route == null || route == onRoute)

    fun fails(random: Random): Boolean = errorFraction > 0 && random.nextDouble() < errorFraction

    /** Factor on the latency while active. */
    val latencyFactor: Double
        get() = slowdown

    companion object {
        private const val FIRST_LATE_SECOND = 300L
        private const val LAST_LATE_SECOND = 3_600L
        private const val HIGH_LOAD = 0.8

        /** The fault of [kind]; null for a good version. */
        fun of(kind: VersionKind, deployment: Deployment, random: Random): Fault? {
            val late = random.nextLong(FIRST_LATE_SECOND, LAST_LATE_SECOND)
            val thin = deployment.routes.minBy { it.trafficFraction }.name
            return when (kind) {
                VersionKind.GOOD,
                VersionKind.GOOD_WITH_BURSTS -> null
                VersionKind.ERRORS_AT_ONCE -> Fault(errorFraction = 0.3)
                VersionKind.FEW_ERRORS_AT_ONCE -> Fault(errorFraction = 0.03)
                VersionKind.ERRORS_LATER -> Fault(errorFraction = 0.3, beginSeconds = late)
                VersionKind.SLOW_AT_ONCE -> Fault(slowdown = 2.0)
                VersionKind.SLOW_LATER -> Fault(slowdown = 2.0, beginSeconds = late)
                VersionKind.ERRORS_UNDER_LOAD -> Fault(errorFraction = 0.3, minLoad = HIGH_LOAD)
                VersionKind.SLOW_UNDER_LOAD -> Fault(slowdown = 2.0, minLoad = HIGH_LOAD)
                VersionKind.ERRORS_ON_ONE_ROUTE -> Fault(errorFraction = 0.3, route = thin)
                VersionKind.SLOW_ON_ONE_ROUTE -> Fault(slowdown = 2.0, route = thin)
            }
        }
    }
}
