package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.ImmutableMap

/** Counts of one version on one route. [slow] counts requests over the old version's own p95. */
data class VersionCounts(val requests: Long = 0, val errors: Long = 0, val slow: Long = 0) {
    operator fun plus(other: VersionCounts): VersionCounts =
        VersionCounts(requests + other.requests, errors + other.errors, slow + other.slow)

    operator fun minus(other: VersionCounts): VersionCounts =
        VersionCounts(requests - other.requests, errors - other.errors, slow - other.slow)

    /** True when no count of [other] exceeds this one. */
    fun isAtLeast(other: VersionCounts): Boolean =
        requests >= other.requests && errors >= other.errors && slow >= other.slow

    /** The count that [metric] is about. */
    fun eventsOf(metric: Metric): Long =
        when (metric) {
            Metric.ERRORS -> errors
            Metric.SLOW -> slow
        }
}

/** Counts of both versions on one route over the same time. */
data class RouteCounts(
    val old: VersionCounts = VersionCounts(),
    val new: VersionCounts = VersionCounts(),
) {
    operator fun plus(other: RouteCounts): RouteCounts =
        RouteCounts(old + other.old, new + other.new)

    operator fun minus(other: RouteCounts): RouteCounts =
        RouteCounts(old - other.old, new - other.new)

    /** True when no count of [other] exceeds this one. */
    fun isAtLeast(other: RouteCounts): Boolean =
        old.isAtLeast(other.old) && new.isAtLeast(other.new)
}

/** What a version is judged on. */
enum class Metric {
    ERRORS,
    SLOW,
}

/** Cumulative counts of one instance since [step] came into force there, by route. */
data class StatsReport(
    val rolloutId: String,
    val step: Int,
    val instanceId: String,
    val byRoute: ImmutableMap<String, RouteCounts>,
)
