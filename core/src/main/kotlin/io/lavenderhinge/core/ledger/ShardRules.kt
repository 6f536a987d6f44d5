package io.lavenderhinge.core.ledger

/** What to do with a message, given the record of its key. */
internal sealed interface Verdict {
    /** Answer now. */
    data class Answer(val outcome: LedgerOutcome) : Verdict

    /** Write [record]; answer [outcome] once it is in the store. */
    data class Write(val record: LedgerRecord, val outcome: LedgerOutcome) : Verdict

    /** The record is being written; answer [outcome] once it is in the store. */
    data class AfterWrite(val outcome: LedgerOutcome) : Verdict

    /** Compare the records with the store, then decide again. */
    data object Refresh : Verdict

    /** Ask the owner of the recorded intent, then decide again. */
    data class AskOwner(val intent: LedgerRecord) : Verdict
}

/** The record of a key as a writer sees it; [committed] is false while its write is under way. */
internal class Seen(val record: LedgerRecord?, val committed: Boolean)

/** Decides on messages. Free of state: all it knows is in its arguments. */
internal class ShardRules(private val limits: LedgerLimits) {
    /**
     * Decides on a reservation. [neverDispatched] says of an attempt whether its owner declared
     * that it was not dispatched and never will be.
     */
    fun reserve(
        message: LedgerMessage.Reserve,
        waiting: Waiting,
        seen: Seen,
        horizonMillis: Long,
        nowMillis: Long,
        neverDispatched: (attemptId: String) -> Boolean,
    ): Verdict {
        val record = seen.record
        if (message.keyTimeMillis != null && message.keyTimeMillis < horizonMillis) {
            return Verdict.Answer(LedgerOutcome.TooOld)
        }
        if (record == null) return intent(message, horizonMillis, nowMillis)
        if (record.attemptId == message.attemptId) return sameAttempt(record, seen.committed)
        if (record.state == RecordState.Voided) return intent(message, horizonMillis, nowMillis)
        if (record.bodyHash != message.bodyHash) return Verdict.Answer(LedgerOutcome.Mismatch)
        if (record.state is RecordState.Completed) return stored(record, seen.committed)
        if (!seen.committed) return Verdict.Answer(LedgerOutcome.InFlight)
        if (neverDispatched(record.attemptId)) return intent(message, horizonMillis, nowMillis)
        if (!waiting.doubted) return Verdict.AskOwner(record)
        if (!waiting.fresh) return Verdict.Refresh
        return Verdict.Answer(LedgerOutcome.InDoubt)
    }

    /** Decides on the answer of a dispatched attempt. */
    fun complete(
        message: LedgerMessage.Complete,
        waiting: Waiting,
        seen: Seen,
        horizonMillis: Long,
    ): Verdict {
        val record = seen.record
        val isOwn = record != null && record.attemptId == message.attemptId
        if (!isOwn || record?.state == RecordState.Voided) {
            if (!waiting.fresh) return Verdict.Refresh
            checkInvariant(record == null || record.keyTimeMillis < horizonMillis) {
                "attempt ${message.attemptId} ran although ${record?.attemptId} holds its key"
            }
            return Verdict.Answer(LedgerOutcome.Recorded(0))
        }
        val recorded = LedgerOutcome.Recorded(record!!.expiresAtMillis)
        val state = record.state
        if (state is RecordState.Completed) {
            checkInvariant(state.answer == keptAnswer(message)) {
                "attempt ${message.attemptId} has two answers"
            }
            return if (seen.committed) Verdict.Answer(recorded) else Verdict.AfterWrite(recorded)
        }
        if (record.keyTimeMillis < horizonMillis) return Verdict.Answer(recorded)
        val completed = RecordState.Completed(keptAnswer(message))
        return Verdict.Write(record.copy(state = completed), recorded)
    }

    /** Decides on freeing a key. */
    fun void(message: LedgerMessage.Void, seen: Seen, horizonMillis: Long): Verdict {
        val record = seen.record
        val done = LedgerOutcome.Recorded(0)
        if (record == null || record.attemptId != message.attemptId) return Verdict.Answer(done)
        if (record.keyTimeMillis < horizonMillis) return Verdict.Answer(done)
        return when (record.state) {
            RecordState.Intent -> Verdict.Write(record.copy(state = RecordState.Voided), done)
            RecordState.Voided -> Verdict.Answer(done)
            is RecordState.Completed ->
                throw LedgerInvariantViolation("attempt ${message.attemptId} ran and was voided")
        }
    }

    private fun intent(
        message: LedgerMessage.Reserve,
        horizonMillis: Long,
        nowMillis: Long,
    ): Verdict {
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
        return Verdict.Write(record, LedgerOutcome.Recorded(record.expiresAtMillis))
    }

    private fun sameAttempt(record: LedgerRecord, committed: Boolean): Verdict {
        if (record.state is RecordState.Completed) return stored(record, committed)
        if (record.state == RecordState.Voided) {
            return Verdict.Answer(LedgerOutcome.Unavailable("the attempt was voided"))
        }
        val recorded = LedgerOutcome.Recorded(record.expiresAtMillis)
        return if (committed) Verdict.Answer(recorded) else Verdict.AfterWrite(recorded)
    }

    private fun stored(record: LedgerRecord, committed: Boolean): Verdict {
        val answer = (record.state as RecordState.Completed).answer
        val completed = LedgerOutcome.Completed(answer, record.expiresAtMillis)
        return if (committed) Verdict.Answer(completed) else Verdict.AfterWrite(completed)
    }

    private fun keptAnswer(message: LedgerMessage.Complete): LedgerAnswer? =
        message.answer?.kept(limits.answerBytes)
}
