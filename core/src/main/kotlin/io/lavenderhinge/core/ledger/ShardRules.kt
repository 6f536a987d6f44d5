package io.lavenderhinge.core.ledger

/** How to process a message, given the record of its key. */
internal sealed interface Decision {
    /** Reply immediately. */
    data class Reply(val outcome: LedgerOutcome) : Decision

    /** Write [record] and reply with [outcome] once it is in the store. */
    data class Write(val record: LedgerRecord, val outcome: LedgerOutcome) : Decision

    /** The record is already being written; reply with [outcome] once it is in the store. */
    data class ReplyAfterWrite(val outcome: LedgerOutcome) : Decision

    /** Compare the records with the store, then evaluate the message again. */
    data object Refresh : Decision

    /** Query the owner of the recorded intent, then evaluate the message again. */
    data class QueryOwner(val intent: LedgerRecord) : Decision
}

/** The latest record of a key; [isCommitted] is false until its write has taken effect. */
internal class KeyState(val record: LedgerRecord?, val isCommitted: Boolean)

/** Stateless rules that map a message and the state of its key to a [Decision]. */
internal class ShardRules(private val limits: LedgerLimits) {
    /**
     * Evaluates a reservation. [neverDispatched] returns true for an attempt whose owner has
     * replied that it was not dispatched and never will be.
     */
    fun reserve(
        message: LedgerMessage.Reserve,
        pending: PendingMessage,
        keyState: KeyState,
        horizonMillis: Long,
        nowMillis: Long,
        neverDispatched: (attemptId: String) -> Boolean,
    ): Decision {
        val record = keyState.record
        if (message.keyTimeMillis != null && message.keyTimeMillis < horizonMillis) {
            return Decision.Reply(LedgerOutcome.TooOld)
        }
        if (record == null) return writeIntent(message, horizonMillis, nowMillis)
        if (record.attemptId == message.attemptId)
            return repeatedAttempt(record, keyState.isCommitted)
        if (record.state == RecordState.Voided)
            return writeIntent(message, horizonMillis, nowMillis)
        if (record.bodyHash != message.bodyHash) return Decision.Reply(LedgerOutcome.Mismatch)
        if (record.state is RecordState.Completed) return storedReply(record, keyState.isCommitted)
        if (!keyState.isCommitted) return Decision.Reply(LedgerOutcome.InFlight)
        if (neverDispatched(record.attemptId)) return writeIntent(message, horizonMillis, nowMillis)
        if (!pending.isOwnerUnknown) return Decision.QueryOwner(record)
        if (!pending.isRefreshed) return Decision.Refresh
        return Decision.Reply(LedgerOutcome.InDoubt)
    }

    /** Evaluates the completion of a dispatched attempt. */
    fun complete(
        message: LedgerMessage.Complete,
        pending: PendingMessage,
        keyState: KeyState,
        horizonMillis: Long,
    ): Decision {
        val record = keyState.record
        val isOwn = record != null && record.attemptId == message.attemptId
        if (!isOwn || record?.state == RecordState.Voided) {
            if (!pending.isRefreshed) return Decision.Refresh
            checkInvariant(record == null || record.keyTimeMillis < horizonMillis) {
                "attempt ${message.attemptId} ran although ${record?.attemptId} holds its key"
            }
            return Decision.Reply(LedgerOutcome.Recorded(0))
        }
        val recorded = LedgerOutcome.Recorded(record!!.expiresAtMillis)
        val state = record.state
        if (state is RecordState.Completed) {
            checkInvariant(state.answer == storedAnswer(message)) {
                "attempt ${message.attemptId} was completed with two different answers"
            }
            return if (keyState.isCommitted) Decision.Reply(recorded)
            else Decision.ReplyAfterWrite(recorded)
        }
        if (record.keyTimeMillis < horizonMillis) return Decision.Reply(recorded)
        val completed = RecordState.Completed(storedAnswer(message))
        return Decision.Write(record.copy(state = completed), recorded)
    }

    /** Evaluates the release of a key. */
    fun void(message: LedgerMessage.Void, keyState: KeyState, horizonMillis: Long): Decision {
        val record = keyState.record
        val done = LedgerOutcome.Recorded(0)
        if (record == null || record.attemptId != message.attemptId) return Decision.Reply(done)
        if (record.keyTimeMillis < horizonMillis) return Decision.Reply(done)
        return when (record.state) {
            RecordState.Intent -> Decision.Write(record.copy(state = RecordState.Voided), done)
            RecordState.Voided -> Decision.Reply(done)
            is RecordState.Completed ->
                throw LedgerInvariantViolation("attempt ${message.attemptId} ran and was voided")
        }
    }

    private fun writeIntent(
        message: LedgerMessage.Reserve,
        horizonMillis: Long,
        nowMillis: Long,
    ): Decision {
        val keyTimeMillis = message.keyTimeMillis ?: maxOf(nowMillis, horizonMillis)
        val record =
            LedgerRecord(
                message.key,
                keyTimeMillis,
                message.retentionMillis,
                message.bodyHash,
                message.attemptId,
                message.entryId,
                RecordState.Intent,
            )
        return Decision.Write(record, LedgerOutcome.Recorded(record.expiresAtMillis))
    }

    private fun repeatedAttempt(record: LedgerRecord, isCommitted: Boolean): Decision {
        if (record.state is RecordState.Completed) return storedReply(record, isCommitted)
        if (record.state == RecordState.Voided) {
            return Decision.Reply(LedgerOutcome.Unavailable("the attempt was voided"))
        }
        val recorded = LedgerOutcome.Recorded(record.expiresAtMillis)
        return if (isCommitted) Decision.Reply(recorded) else Decision.ReplyAfterWrite(recorded)
    }

    private fun storedReply(record: LedgerRecord, isCommitted: Boolean): Decision {
        val answer = (record.state as RecordState.Completed).answer
        val completed = LedgerOutcome.Completed(answer, record.expiresAtMillis)
        return if (isCommitted) Decision.Reply(completed) else Decision.ReplyAfterWrite(completed)
    }

    private fun storedAnswer(message: LedgerMessage.Complete): LedgerAnswer? =
        message.answer?.toStorable(limits.maxAnswerBytes)
}
