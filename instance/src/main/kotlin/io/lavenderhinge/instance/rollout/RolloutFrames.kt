package io.lavenderhinge.instance.rollout

import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.StatsReport
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.rollout.VersionCounts
import io.lavenderhinge.instance.peer.PROTOCOL_VERSION
import io.lavenderhinge.protocol.v1.Delta
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.RouteCount
import io.lavenderhinge.protocol.v1.StopFlag as WireStopFlag
import io.lavenderhinge.protocol.v1.VersionStats
import kotlinx.collections.immutable.toImmutableMap

/** Converts between the core types and the frames exchanged with peers. */
internal object RolloutFrames {

    /** Limits the size of a stop flag in gossip. */
    private const val MAX_EVIDENCE_CHARS = 300

    fun statsFrame(report: StatsReport, plan: RolloutPlan): Frame {
        val stats =
            VersionStats.newBuilder()
                .setRolloutId(report.rolloutId)
                .setStep(report.step)
                .setInstanceId(report.instanceId)
        for ((route, counts) in report.byRoute) {
            stats.addCounts(toWire(route, plan.fromVersion, counts.old))
            stats.addCounts(toWire(route, plan.toVersion, counts.new))
        }
        return frameBuilder().setVersionStats(stats).build()
    }

    fun statsReport(stats: VersionStats, plan: RolloutPlan): StatsReport {
        val byRoute = HashMap<String, RouteCounts>()
        for (count in stats.countsList) {
            val counts = VersionCounts(count.requests, count.errors, count.slow)
            val routeCounts =
                when (count.version) {
                    plan.fromVersion -> RouteCounts(old = counts)
                    plan.toVersion -> RouteCounts(new = counts)
                    else -> continue
                }
            byRoute.merge(count.route, routeCounts, RouteCounts::plus)
        }
        return StatsReport(stats.rolloutId, stats.step, stats.instanceId, byRoute.toImmutableMap())
    }

    fun stopFlagsFrame(flags: Collection<StopFlag>): Frame =
        frameBuilder().setDelta(Delta.newBuilder().addAllStopFlags(flags.map(::toWire))).build()

    /** Returns the stop flags in [frame]. */
    fun stopFlagsOf(frame: Frame): List<StopFlag> =
        when (frame.bodyCase) {
            Frame.BodyCase.DELTA -> frame.delta.stopFlagsList
            Frame.BodyCase.DIGEST -> frame.digest.stopFlagsList
            else -> emptyList()
        }.map(::fromWire)

    private fun frameBuilder() = Frame.newBuilder().setProtocolVersion(PROTOCOL_VERSION)

    private fun toWire(route: String, version: String, counts: VersionCounts) =
        RouteCount.newBuilder()
            .setRoute(route)
            .setVersion(version)
            .setRequests(counts.requests)
            .setErrors(counts.errors)
            .setSlow(counts.slow)

    private fun toWire(flag: StopFlag): WireStopFlag =
        WireStopFlag.newBuilder()
            .setTarget(flag.targetName)
            .setVersion(flag.version)
            .setRolloutId(flag.rolloutId)
            .setEvidence(flag.evidence.take(MAX_EVIDENCE_CHARS))
            .build()

    private fun fromWire(flag: WireStopFlag) =
        StopFlag(flag.target, flag.version, flag.rolloutId, flag.evidence)
}
