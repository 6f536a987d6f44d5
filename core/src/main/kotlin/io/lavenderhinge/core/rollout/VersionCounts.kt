package io.lavenderhinge.core.rollout

import kotlinx.collections.immutable.ImmutableMap

/**
 * Counts of one version on one route. [slow] counts requests above the 95th percentile of the old
 * version's latency.
 */
data class VersionCounts(val requests: Long = 0, val errors: Long = 0, val slow: Long = 0) {
    operator fun plus(other: VersionCounts): VersionCounts =
        VersionCounts(requests + other.requests, errors + other.errors, slow + other.slow)

    operator fun minus(other: VersionCounts): VersionCounts =
        VersionCounts(requests - other.requests, errors - other.errors, slow - other.slow)

    /** Returns true if every count is at least as high as in [other]. */
    fun isAtLeast(other: VersionCounts): Boolean =
        requests >= other.requests && errors >= other.errors && slow >= other.slow

    /** Returns the number of events of [metric]. */
    fun eventsOf(metric: Metric): Long =
        when (metric) {
            Metric.ERRORS -> errors
            Metric.SLOW -> slow
        }
}

/** Counts of both versions on one route over the same time range. */
data class RouteCounts(
    val old: VersionCounts = VersionCounts(),
    val new: VersionCounts = VersionCounts(),
) {
    operator fun plus(other: RouteCounts): RouteCounts =
        RouteCounts(old + other.old, new + other.new)

    operator fun minus(other: RouteCounts): RouteCounts =
        RouteCounts(old - other.old, new - other.new)

    /** Returns true if every count is at least as high as in [other]. */
    fun isAtLeast(other: RouteCounts): Boolean =
        old.isAtLeast(other.old) && new.isAtLeast(other.new)
}

/** Metrics by which versions are compared. */
enum class Metric {
    ERRORS,
    SLOW,
}

/** Cumulative counts of one instance by route since [step] became active on it. */
data class StatsReport(
    val rolloutId: String,
    val step: Int,
    val instanceId: String,
    val byRoute: ImmutableMap<String, RouteCounts>,
)
