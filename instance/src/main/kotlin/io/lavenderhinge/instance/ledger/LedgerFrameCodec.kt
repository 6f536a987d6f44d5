package io.lavenderhinge.instance.ledger

import com.google.protobuf.ByteString
import io.lavenderhinge.core.ledger.LedgerAnswer
import io.lavenderhinge.core.ledger.LedgerMessage
import io.lavenderhinge.core.ledger.LedgerOutcome
import io.lavenderhinge.instance.peer.PROTOCOL_VERSION
import io.lavenderhinge.protocol.v1.Answer
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LedgerOperation
import io.lavenderhinge.protocol.v1.LedgerOutcome as WireOutcome
import io.lavenderhinge.protocol.v1.LedgerReply
import io.lavenderhinge.protocol.v1.LedgerRequest

/** Converts ledger messages to and from frames. */
internal object LedgerFrameCodec {
    fun encode(message: LedgerMessage): Frame {
        val frame = Frame.newBuilder().setProtocolVersion(PROTOCOL_VERSION)
        when (message) {
            is LedgerMessage.Call -> frame.ledgerRequest = encodeCall(message)
            is LedgerMessage.Reply -> frame.ledgerReply = encodeReply(message)
        }
        return frame.build()
    }

    /** The ledger message in [frame]; null for other frames and for unknown operations. */
    fun decode(frame: Frame): LedgerMessage? =
        when {
            frame.hasLedgerRequest() -> decodeCall(frame.ledgerRequest)
            frame.hasLedgerReply() ->
                decodeOutcome(frame.ledgerReply)?.let {
                    LedgerMessage.Reply(frame.ledgerReply.callId, it)
                }
            else -> null
        }

    private fun encodeCall(call: LedgerMessage.Call): LedgerRequest {
        val request =
            LedgerRequest.newBuilder()
                .setCallId(call.callId)
                .setShard(call.shard)
                .setKey(call.key)
                .setAttemptId(call.attemptId)
        when (call) {
            is LedgerMessage.Reserve ->
                request
                    .setOperation(LedgerOperation.LEDGER_OPERATION_RESERVE)
                    .setKeyTimeMillis(call.keyTimeMillis ?: 0)
                    .setBodyHash(call.bodyHash)
                    .setEntryId(call.entryId)
                    .setRetentionMillis(call.retentionMillis)
            is LedgerMessage.Complete -> {
                request.operation = LedgerOperation.LEDGER_OPERATION_COMPLETE
                call.answer?.let { request.answer = encodeAnswer(it) }
            }
            is LedgerMessage.Void -> request.operation = LedgerOperation.LEDGER_OPERATION_VOID
            is LedgerMessage.OwnerQuery ->
                request.operation = LedgerOperation.LEDGER_OPERATION_OWNER_QUERY
        }
        return request.build()
    }

    private fun decodeCall(request: LedgerRequest): LedgerMessage.Call? {
        val id = request.callId
        val shard = request.shard
        val key = request.key
        val attemptId = request.attemptId
        return when (request.operation) {
            LedgerOperation.LEDGER_OPERATION_RESERVE ->
                LedgerMessage.Reserve(
                    id,
                    shard,
                    key,
                    attemptId,
                    request.keyTimeMillis.takeIf { it > 0 },
                    request.retentionMillis,
                    request.bodyHash,
                    request.entryId,
                )
            LedgerOperation.LEDGER_OPERATION_COMPLETE -> {
                val answer = if (request.hasAnswer()) decodeAnswer(request.answer) else null
                LedgerMessage.Complete(id, shard, key, attemptId, answer)
            }
            LedgerOperation.LEDGER_OPERATION_VOID -> LedgerMessage.Void(id, shard, key, attemptId)
            LedgerOperation.LEDGER_OPERATION_OWNER_QUERY ->
                LedgerMessage.OwnerQuery(id, shard, key, attemptId)
            else -> null
        }
    }

    private fun encodeReply(reply: LedgerMessage.Reply): LedgerReply {
        val builder = LedgerReply.newBuilder().setCallId(reply.callId)
        builder.outcome = encodeOutcome(reply.outcome)
        when (val outcome = reply.outcome) {
            is LedgerOutcome.Recorded -> builder.expiresAtMillis = outcome.expiresAtMillis
            is LedgerOutcome.Completed -> {
                builder.expiresAtMillis = outcome.expiresAtMillis
                outcome.answer?.let { builder.answer = encodeAnswer(it) }
            }
            is LedgerOutcome.NotWriter -> builder.detail = outcome.writerId.orEmpty()
            is LedgerOutcome.Unavailable -> builder.detail = outcome.detail
            else -> Unit
        }
        return builder.build()
    }

    private fun encodeOutcome(outcome: LedgerOutcome): WireOutcome =
        when (outcome) {
            is LedgerOutcome.Recorded -> WireOutcome.LEDGER_OUTCOME_RECORDED
            is LedgerOutcome.Completed -> WireOutcome.LEDGER_OUTCOME_COMPLETED
            LedgerOutcome.InFlight -> WireOutcome.LEDGER_OUTCOME_IN_FLIGHT
            LedgerOutcome.InDoubt -> WireOutcome.LEDGER_OUTCOME_IN_DOUBT
            LedgerOutcome.Mismatch -> WireOutcome.LEDGER_OUTCOME_MISMATCH
            LedgerOutcome.TooOld -> WireOutcome.LEDGER_OUTCOME_TOO_OLD
            is LedgerOutcome.NotWriter -> WireOutcome.LEDGER_OUTCOME_NOT_WRITER
            is LedgerOutcome.Unavailable -> WireOutcome.LEDGER_OUTCOME_UNAVAILABLE
            LedgerOutcome.OwnerActive -> WireOutcome.LEDGER_OUTCOME_OWNER_DISPATCHED
            LedgerOutcome.OwnerNeverDispatched -> WireOutcome.LEDGER_OUTCOME_OWNER_NEVER_DISPATCHED
            LedgerOutcome.OwnerUnknown -> WireOutcome.LEDGER_OUTCOME_OWNER_UNKNOWN
        }

    private fun decodeOutcome(reply: LedgerReply): LedgerOutcome? =
        when (reply.outcome) {
            WireOutcome.LEDGER_OUTCOME_RECORDED -> LedgerOutcome.Recorded(reply.expiresAtMillis)
            WireOutcome.LEDGER_OUTCOME_COMPLETED -> {
                val answer = if (reply.hasAnswer()) decodeAnswer(reply.answer) else null
                LedgerOutcome.Completed(answer, reply.expiresAtMillis)
            }
            WireOutcome.LEDGER_OUTCOME_IN_FLIGHT -> LedgerOutcome.InFlight
            WireOutcome.LEDGER_OUTCOME_IN_DOUBT -> LedgerOutcome.InDoubt
            WireOutcome.LEDGER_OUTCOME_MISMATCH -> LedgerOutcome.Mismatch
            WireOutcome.LEDGER_OUTCOME_TOO_OLD -> LedgerOutcome.TooOld
            WireOutcome.LEDGER_OUTCOME_NOT_WRITER ->
                LedgerOutcome.NotWriter(reply.detail.ifEmpty { null })
            WireOutcome.LEDGER_OUTCOME_UNAVAILABLE -> LedgerOutcome.Unavailable(reply.detail)
            WireOutcome.LEDGER_OUTCOME_OWNER_DISPATCHED -> LedgerOutcome.OwnerActive
            WireOutcome.LEDGER_OUTCOME_OWNER_NEVER_DISPATCHED -> LedgerOutcome.OwnerNeverDispatched
            WireOutcome.LEDGER_OUTCOME_OWNER_UNKNOWN -> LedgerOutcome.OwnerUnknown
            else -> null
        }
}

private fun encodeAnswer(answer: LedgerAnswer): Answer =
    Answer.newBuilder()
        .setStatus(answer.status)
        .setContentType(answer.contentType)
        .setBody(ByteString.copyFrom(answer.body))
        .build()

private fun decodeAnswer(answer: Answer): LedgerAnswer =
    LedgerAnswer(answer.status, answer.contentType, answer.body.toByteArray())
