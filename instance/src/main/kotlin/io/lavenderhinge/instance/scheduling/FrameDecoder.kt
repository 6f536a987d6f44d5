package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.GrantRequestKey
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.protocol.v1.Ask
import io.lavenderhinge.protocol.v1.Done
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.Grant
import io.lavenderhinge.protocol.v1.LimitStatement as LimitStatementMessage
import io.lavenderhinge.protocol.v1.Preempt
import io.lavenderhinge.protocol.v1.Queued
import io.lavenderhinge.protocol.v1.Refuse
import io.lavenderhinge.protocol.v1.ServerSummary
import kotlinx.collections.immutable.toImmutableList

/** Decodes frames into core events. Deadlines are sent as remaining time, since clocks differ. */
internal object FrameDecoder {
    /** Decodes [frame]. Returns null if it is not a scheduling frame or has an unknown tier. */
    fun decode(fromInstanceId: String, selfId: String, frame: Frame, nowMillis: Long) =
        when (frame.bodyCase) {
            Frame.BodyCase.ASK -> grantRequest(fromInstanceId, frame.ask, nowMillis)
            Frame.BodyCase.RELEASE ->
                toHome(
                    frame.release.serverId,
                    HomeEvent.Released(GrantRequestKey(fromInstanceId, frame.release.requestId)),
                )
            Frame.BodyCase.DONE -> toHome(frame.done.serverId, finished(fromInstanceId, frame.done))
            Frame.BodyCase.GRANT ->
                toEntry(
                    frame.grant.serverId,
                    HomeEffect.Grant(selfId, frame.grant.requestId, frame.grant.cachedPrefixTokens),
                )
            Frame.BodyCase.QUEUED ->
                toEntry(
                    frame.queued.serverId,
                    HomeEffect.Queued(
                        selfId,
                        frame.queued.requestId,
                        frame.queued.expectedWaitMillis.toLong(),
                    ),
                )
            Frame.BodyCase.REFUSE -> toEntry(frame.refuse.serverId, refuse(selfId, frame.refuse))
            Frame.BodyCase.PREEMPT ->
                toEntry(frame.preempt.serverId, HomeEffect.Preempt(selfId, frame.preempt.requestId))
            else -> null
        }

    fun decode(summary: ServerSummary): HomeSummary =
        HomeSummary(
            serverId = summary.serverId,
            expectedWaitMillis = summary.expectedWaitMillis.toLong(),
            freeSlots = summary.freeSlots,
            lowestOpenTier = tier(summary.lowestOpenTier) ?: Tier.BATCH,
            sequence = summary.sequence,
        )

    private fun grantRequest(
        fromInstanceId: String,
        frame: Ask,
        nowMillis: Long,
    ): SchedulingMessage? {
        val tier = tier(frame.tier) ?: return null
        val request =
            GrantRequest(
                grantRequestId = frame.requestId,
                entryId = fromInstanceId,
                tier = tier,
                workspace = frame.workspace,
                weight = frame.weight,
                promptTokens = frame.promptTokens,
                outputTokens = frame.outputTokens,
                deadlineMillis = nowMillis + frame.deadlineLeftMillis,
                prefixHashes = frame.prefixHashesList.toImmutableList(),
                firstTokenDueMillis = firstTokenDue(frame, nowMillis),
                mayPreempt = frame.preemptLowerTier,
            )
        val event =
            if (frame.inService) HomeEvent.Registered(request) else HomeEvent.Requested(request)
        return toHome(frame.serverId, event)
    }

    private fun firstTokenDue(frame: Ask, nowMillis: Long): Long =
        if (frame.hasFirstTokenLeftMillis()) nowMillis + frame.firstTokenLeftMillis
        else Long.MAX_VALUE

    private fun finished(fromInstanceId: String, done: Done) =
        HomeEvent.Finished(
            GrantRequestKey(fromInstanceId, done.requestId),
            SlotResult(
                resultClass =
                    ResultClass.entries.getOrElse(done.result.ordinal - 1) {
                        ResultClass.SERVER_ERROR
                    },
                firstTokenMillis = done.firstTokenMillis.toLong(),
                betweenTokensMicros = done.betweenTokensMicros.toLong(),
                promptTokens = done.promptTokens,
                outputTokens = done.outputTokens,
                limitStatement =
                    if (done.hasLimitStatement()) limitStatement(done.limitStatement) else null,
            ),
        )

    private fun limitStatement(message: LimitStatementMessage) =
        LimitStatement(if (message.hasPerSecond()) message.perSecond else null)

    private fun refuse(selfId: String, refuse: Refuse) =
        HomeEffect.Refuse(
            entryId = selfId,
            grantRequestId = refuse.requestId,
            // An unknown reason, sent by a newer release, is treated as a moved home.
            reason =
                RefusalReason.entries.getOrElse(refuse.reason.ordinal - 1) {
                    RefusalReason.NOT_HOME
                },
            expectedWaitMillis = refuse.expectedWaitMillis.toLong(),
            lowerTierCount = refuse.lowerTierCount,
        )

    private fun toHome(serverId: String, event: HomeEvent): SchedulingMessage =
        SchedulingMessage.ToHome(serverId, event)

    private fun toEntry(serverId: String, effect: HomeEffect): SchedulingMessage =
        SchedulingMessage.ToEntry(serverId, effect)

    private fun tier(tier: io.lavenderhinge.protocol.v1.Tier): Tier? =
        Tier.entries.getOrNull(tier.ordinal - 1)
}
