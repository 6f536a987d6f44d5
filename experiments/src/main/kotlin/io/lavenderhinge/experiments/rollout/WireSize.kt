package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.StatsReport
import io.lavenderhinge.core.rollout.VersionCounts

/** Size of a `VersionStats` frame in protobuf encoding, without the transport's framing. */
object WireSize {
    private const val VARINT_BITS = 7

    fun of(report: StatsReport, plan: RolloutPlan): Int {
        val counts =
            report.byRoute.entries.sumOf { (route, both) ->
                nested(count(route, plan.fromVersion, both.old)) +
                    nested(count(route, plan.toVersion, both.new))
            }
        val stats =
            text(report.rolloutId) + number(report.step.toLong()) + text(report.instanceId) + counts
        return number(1) + nested(stats)
    }

    private fun count(route: String, version: String, counts: VersionCounts): Int =
        text(route) +
            text(version) +
            number(counts.requests) +
            number(counts.errors) +
            number(counts.slow)

    private fun text(value: String) = nested(value.length)

    private fun nested(size: Int) = 1 + varint(size.toLong()) + size

    private fun number(value: Long) = if (value == 0L) 0 else 1 + varint(value)

    private fun varint(value: Long): Int =
        (Long.SIZE_BITS - value.countLeadingZeroBits()).coerceAtLeast(1).let {
            (it + VARINT_BITS - 1) / VARINT_BITS
        }
}
