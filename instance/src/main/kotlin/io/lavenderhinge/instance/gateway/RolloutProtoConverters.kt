package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.RolloutReport
import io.lavenderhinge.core.forwarding.RolloutStage
import io.lavenderhinge.core.forwarding.SentRequests
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.VersionCounts
import io.lavenderhinge.protocol.v1.LoadReport
import io.lavenderhinge.protocol.v1.RolloutProgress
import io.lavenderhinge.protocol.v1.RolloutStage as StageMessage
import io.lavenderhinge.protocol.v1.RouteTally
import io.lavenderhinge.protocol.v1.VersionTally

/** Converts this report to its protobuf message. */
internal fun RolloutReport.toMessage(): RolloutProgress =
    RolloutProgress.newBuilder()
        .setService(service)
        .setOrderRevision(orderRevision)
        .setStage(stage.toMessage())
        .setElapsedMillis(elapsedMillis)
        .setOldInFlight(oldInFlight)
        .setSentRequests(sent.total)
        .setSentOnTarget(sent.onTarget)
        .setSentPerSecond(sent.perSecond)
        .addAllRoutes(
            countsByRoute.map { (route, counts) ->
                RouteTally.newBuilder()
                    .setRoute(route)
                    .setOldVersion(counts.old.toMessage())
                    .setNewVersion(counts.new.toMessage())
                    .build()
            }
        )
        .build()

/** Reads the rollout reports from the message; reports with unknown stages are skipped. */
internal fun LoadReport.toRollouts(): List<RolloutReport> =
    rolloutsList.mapNotNull { message ->
        val stage = message.stage.toStage() ?: return@mapNotNull null
        RolloutReport(
            message.service,
            message.orderRevision,
            stage,
            message.elapsedMillis,
            message.oldInFlight,
            message.routesList.associate {
                it.route to RouteCounts(it.oldVersion.toCounts(), it.newVersion.toCounts())
            },
            SentRequests(message.sentRequests, message.sentOnTarget, message.sentPerSecond),
        )
    }

private fun RolloutStage.toMessage() =
    when (this) {
        RolloutStage.TRIAL -> StageMessage.ROLLOUT_STAGE_TRIAL
        RolloutStage.SHIFTED -> StageMessage.ROLLOUT_STAGE_SHIFTED
        RolloutStage.WITHDRAWN -> StageMessage.ROLLOUT_STAGE_WITHDRAWN
    }

private fun StageMessage.toStage() =
    when (this) {
        StageMessage.ROLLOUT_STAGE_TRIAL,
        StageMessage.ROLLOUT_STAGE_RAMP -> RolloutStage.TRIAL
        StageMessage.ROLLOUT_STAGE_SHIFTED -> RolloutStage.SHIFTED
        StageMessage.ROLLOUT_STAGE_WITHDRAWN -> RolloutStage.WITHDRAWN
        StageMessage.UNRECOGNIZED -> null
    }

private fun VersionCounts.toMessage() =
    VersionTally.newBuilder().setRequests(requests).setErrors(errors).setSlow(slow).build()

private fun VersionTally.toCounts() = VersionCounts(requests, errors, slow)
