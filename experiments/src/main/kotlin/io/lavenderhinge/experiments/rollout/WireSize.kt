package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.StatsReport
import io.lavenderhinge.core.rollout.VersionCounts

/** Computes the protobuf size of a `VersionStats` frame, excluding transport framing. */
object WireSize {
    private const val VARINT_BITS = 7

    fun of(report: StatsReport, plan: RolloutPlan): Int {
        val counts =
            report.byRoute.entries.sumOf { (route, both) ->
                lengthDelimited(routeCountFields(route, plan.fromVersion, both.old)) +
                    lengthDelimited(routeCountFields(route, plan.toVersion, both.new))
            }
        val stats =
            stringField(report.rolloutId) +
                varintField(report.step.toLong()) +
                stringField(report.instanceId) +
                counts
        return varintField(1) + lengthDelimited(stats)
    }

    private fun routeCountFields(route: String, version: String, counts: VersionCounts): Int =
        stringField(route) +
            stringField(version) +
            varintField(counts.requests) +
            varintField(counts.errors) +
            varintField(counts.slow)

    private fun stringField(value: String) = lengthDelimited(value.length)

    private fun lengthDelimited(size: Int) = 1 + varintSize(size.toLong()) + size

    private fun varintField(value: Long) = if (value == 0L) 0 else 1 + varintSize(value)

    private fun varintSize(value: Long): Int =
        (Long.SIZE_BITS - value.countLeadingZeroBits()).coerceAtLeast(1).let {
            (it + VARINT_BITS - 1) / VARINT_BITS
        }
}
