package io.lavenderhinge.instance.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.instance.peer.PROTOCOL_VERSION
import io.lavenderhinge.protocol.v1.Ask
import io.lavenderhinge.protocol.v1.Done
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.Grant
import io.lavenderhinge.protocol.v1.LimitStatement as LimitStatementMessage
import io.lavenderhinge.protocol.v1.Preempt
import io.lavenderhinge.protocol.v1.Queued
import io.lavenderhinge.protocol.v1.Refuse
import io.lavenderhinge.protocol.v1.RefuseReason
import io.lavenderhinge.protocol.v1.Release
import io.lavenderhinge.protocol.v1.ServerSummary

/** Encodes core events as frames. Deadlines are sent as remaining time, since clocks differ. */
internal object FrameEncoder {
    /** Encodes [event], which an entry sends to the home of [serverId]. */
    fun encode(serverId: String, event: HomeEvent, nowMillis: Long): Frame? {
        val frame = Frame.newBuilder().setProtocolVersion(PROTOCOL_VERSION)
        return when (event) {
            is HomeEvent.Requested ->
                frame.setAsk(askFrame(serverId, event.request, false, nowMillis)).build()
            is HomeEvent.Registered ->
                frame.setAsk(askFrame(serverId, event.request, true, nowMillis)).build()
            is HomeEvent.Released ->
                frame
                    .setRelease(
                        Release.newBuilder()
                            .setRequestId(event.key.grantRequestId)
                            .setServerId(serverId)
                    )
                    .build()
            is HomeEvent.Finished ->
                frame.setDone(done(serverId, event.key.grantRequestId, event.result)).build()
            else -> null
        }
    }

    /** Encodes [effect], which the home of [serverId] sends to an entry. */
    fun encode(serverId: String, effect: HomeEffect): Frame {
        val frame = Frame.newBuilder().setProtocolVersion(PROTOCOL_VERSION)
        val id = effect.grantRequestId
        when (effect) {
            is HomeEffect.Grant ->
                frame.setGrant(
                    Grant.newBuilder()
                        .setRequestId(id)
                        .setServerId(serverId)
                        .setCachedPrefixTokens(effect.cachedPrefixTokens)
                )
            is HomeEffect.Queued ->
                frame.setQueued(
                    Queued.newBuilder()
                        .setRequestId(id)
                        .setServerId(serverId)
                        .setExpectedWaitMillis(bounded(effect.expectedWaitMillis))
                )
            is HomeEffect.Refuse ->
                frame.setRefuse(
                    Refuse.newBuilder()
                        .setRequestId(id)
                        .setServerId(serverId)
                        .setReason(RefuseReason.forNumber(effect.reason.ordinal + 1))
                        .setExpectedWaitMillis(bounded(effect.expectedWaitMillis))
                        .setLowerTierCount(effect.lowerTierCount)
                )
            is HomeEffect.Preempt ->
                frame.setPreempt(Preempt.newBuilder().setRequestId(id).setServerId(serverId))
        }
        return frame.build()
    }

    fun encode(summary: HomeSummary): ServerSummary =
        ServerSummary.newBuilder()
            .setServerId(summary.serverId)
            .setExpectedWaitMillis(bounded(summary.expectedWaitMillis))
            .setFreeSlots(summary.freeSlots)
            .setLowestOpenTier(tier(summary.lowestOpenTier))
            .setSequence(summary.sequence)
            .build()

    private fun askFrame(
        serverId: String,
        request: GrantRequest,
        isInService: Boolean,
        nowMillis: Long,
    ): Ask.Builder {
        val builder =
            Ask.newBuilder()
                .setRequestId(request.grantRequestId)
                .setServerId(serverId)
                .setTier(tier(request.tier))
                .setPromptTokens(request.promptTokens)
                .setOutputTokens(request.outputTokens)
                .setDeadlineLeftMillis(bounded(request.deadlineMillis - nowMillis))
                .setInService(isInService)
                .setPreemptLowerTier(request.mayPreempt)
        if (request.firstTokenDueMillis != Long.MAX_VALUE) {
            builder.firstTokenLeftMillis = bounded(request.firstTokenDueMillis - nowMillis)
        }
        if (isInService) return builder
        // A request in service is not queued, so it needs no fair-share weight or prefix hashes.
        return builder
            .setWorkspace(request.workspace)
            .setWeight(request.weight)
            .addAllPrefixHashes(request.prefixHashes)
    }

    private fun done(serverId: String, grantRequestId: String, result: SlotResult): Done {
        val done =
            Done.newBuilder()
                .setRequestId(grantRequestId)
                .setServerId(serverId)
                .setResultValue(result.resultClass.ordinal + 1)
                .setFirstTokenMillis(bounded(result.firstTokenMillis))
                .setBetweenTokensMicros(bounded(result.betweenTokensMicros))
                .setPromptTokens(result.promptTokens)
                .setOutputTokens(result.outputTokens)
        result.limitStatement?.let { done.setLimitStatement(limitStatement(it)) }
        return done.build()
    }

    private fun limitStatement(statement: LimitStatement): LimitStatementMessage {
        val message = LimitStatementMessage.newBuilder()
        statement.perSecond?.let(message::setPerSecond)
        return message.build()
    }

    private fun tier(tier: Tier) = io.lavenderhinge.protocol.v1.Tier.forNumber(tier.ordinal + 1)

    private fun bounded(value: Long): Int = value.coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
}
