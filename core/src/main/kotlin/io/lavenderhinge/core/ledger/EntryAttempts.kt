package io.lavenderhinge.core.ledger

/** What the entry side needs to know of its surroundings. */
internal class EntryContext(
    val instanceId: String,
    /** Prefix of attempt ids, unique for each process: a restarted entry disowns old attempts. */
    val incarnation: String,
    val limits: LedgerLimits,
    val selectedWriter: (shard: Int) -> String?,
    val isLive: (instanceId: String) -> Boolean,
    val nextCallId: () -> Long,
    val emit: (LedgerEffect) -> Unit,
)

/**
 * The entry side: reserves keys, dispatches each attempt at most once, reports answers, and tells
 * shard writers what became of its attempts.
 */
internal class EntryAttempts(private val context: EntryContext) {
    private enum class Phase {
        RESERVING,
        DISPATCHED,
        COMPLETING,
    }

    private class Attempt(
        val ticket: Long,
        val id: String,
        val request: LedgerRequest,
        val shard: Int,
        val giveUpAtMillis: Long,
    ) {
        var phase = Phase.RESERVING
        var callId = 0L
        var sentTo: String? = null
        var redirectTo: String? = null
        var nextSendAtMillis = 0L
        var backoffMillis = 0L
        var completeUntilMillis = 0L
        var expiresAtMillis = 0L
        var answer: LedgerAnswer? = null

        /** Another attempt with the key runs: this one's end does not mean that nothing ran. */
        var isOtherInFlight = false
        var sawWriter = false
    }

    private val limits = context.limits
    private val attempts = LinkedHashMap<String, Attempt>()
    private val byTicket = HashMap<Long, Attempt>()
    private val byCall = HashMap<Long, Attempt>()
    private val abandoned = LinkedHashSet<String>()
    private var attemptNumber = 0L
    private var completing = 0

    /** Attempts whose outcome is not yet known to be in the store. */
    val openCount: Int
        get() = attempts.size

    val nextWakeMillis: Long
        get() =
            attempts.values.minOfOrNull {
                when (it.phase) {
                    Phase.RESERVING -> minOf(it.nextSendAtMillis, it.giveUpAtMillis)
                    Phase.DISPATCHED -> Long.MAX_VALUE
                    Phase.COMPLETING -> it.nextSendAtMillis
                }
            } ?: Long.MAX_VALUE

    fun begin(ticket: Long, request: LedgerRequest, nowMillis: Long) {
        val attempt =
            Attempt(
                ticket,
                "${context.incarnation}-${(attemptNumber++).toString(RADIX)}",
                request,
                ShardNames.shardOf(request.key.recordName, limits.shardCount),
                minOf(request.deadlineAtMillis, nowMillis + limits.reserveMillis),
            )
        attempts[attempt.id] = attempt
        byTicket[ticket] = attempt
        newCall(attempt)
        sendReserve(attempt, nowMillis)
    }

    /** The caller left: an attempt that is not dispatched yet never will be. */
    fun cancel(ticket: Long) {
        val attempt = byTicket[ticket] ?: return
        if (attempt.phase != Phase.RESERVING) return
        byTicket.remove(ticket)
        abandon(attempt)
        sendVoid(attempt)
    }

    fun dispatched(ticket: Long, outcome: DispatchOutcome, nowMillis: Long) {
        val attempt = byTicket[ticket] ?: return
        checkInvariant(attempt.phase == Phase.DISPATCHED) {
            "attempt ${attempt.id} ended a dispatch in phase ${attempt.phase}"
        }
        when (outcome) {
            is DispatchOutcome.Answered -> answered(attempt, outcome.answer, nowMillis)
            is DispatchOutcome.NeverSent -> {
                abandon(attempt)
                sendVoid(attempt)
                val result =
                    LedgerResult.NotRun(NotRunReason.NEVER_SENT, outcome.detail, RETRY_MILLIS)
                finish(attempt, result)
            }
            is DispatchOutcome.Lost -> {
                forget(attempt)
                finish(attempt, LedgerResult.Unknown(UnknownReason.ANSWER_LOST, outcome.detail))
            }
        }
    }

    fun replied(callId: Long, outcome: LedgerOutcome, nowMillis: Long) {
        val attempt = byCall[callId] ?: return
        when (attempt.phase) {
            Phase.RESERVING -> reserveReplied(attempt, outcome, nowMillis)
            Phase.DISPATCHED -> return
            Phase.COMPLETING -> if (outcome is LedgerOutcome.Recorded) forget(attempt)
        }
    }

    /**
     * What became of [attemptId]. Never dispatched is said only of attempts that this process
     * remembers to have abandoned; all that it does not know is unknown.
     */
    fun ownerQuery(attemptId: String): LedgerOutcome =
        when (attemptId) {
            in attempts -> LedgerOutcome.OwnerActive
            in abandoned -> LedgerOutcome.OwnerNeverDispatched
            else -> LedgerOutcome.OwnerUnknown
        }

    fun linkLost(instanceId: String, nowMillis: Long) =
        attempts.values
            .filter { it.sentTo == instanceId }
            .forEach {
                it.nextSendAtMillis = minOf(it.nextSendAtMillis, nowMillis + limits.redirectMillis)
            }

    fun wake(nowMillis: Long) {
        val due = attempts.values.filter { isDue(it, nowMillis) }
        for (attempt in due) {
            when (attempt.phase) {
                Phase.RESERVING ->
                    if (nowMillis >= attempt.giveUpAtMillis) giveUp(attempt)
                    else sendReserve(attempt, nowMillis)
                Phase.DISPATCHED -> continue
                Phase.COMPLETING ->
                    if (nowMillis >= attempt.completeUntilMillis) forget(attempt)
                    else sendComplete(attempt, nowMillis)
            }
        }
    }

    private fun isDue(attempt: Attempt, nowMillis: Long): Boolean =
        attempt.nextSendAtMillis <= nowMillis ||
            (attempt.phase == Phase.RESERVING && attempt.giveUpAtMillis <= nowMillis)

    private fun reserveReplied(attempt: Attempt, outcome: LedgerOutcome, nowMillis: Long) {
        if (outcome !is LedgerOutcome.NotWriter) attempt.sawWriter = true
        when (outcome) {
            is LedgerOutcome.Recorded ->
                if (nowMillis >= attempt.giveUpAtMillis) giveUp(attempt)
                else dispatch(attempt, outcome.expiresAtMillis)
            is LedgerOutcome.Completed -> end(attempt, storedResult(outcome))
            LedgerOutcome.InFlight -> {
                attempt.isOtherInFlight = true
                attempt.nextSendAtMillis = nowMillis + limits.pollMillis
            }
            LedgerOutcome.InDoubt -> end(attempt, inDoubt)
            LedgerOutcome.Mismatch -> end(attempt, LedgerResult.Mismatch)
            LedgerOutcome.TooOld -> end(attempt, LedgerResult.TooOld)
            is LedgerOutcome.NotWriter -> {
                attempt.redirectTo = outcome.writerId
                attempt.nextSendAtMillis = nowMillis + limits.redirectMillis
            }
            is LedgerOutcome.Unavailable ->
                endNotRun(attempt, NotRunReason.PLATFORM_UNAVAILABLE, outcome.detail)
            else -> return
        }
    }

    private fun storedResult(outcome: LedgerOutcome.Completed): LedgerResult {
        val answer = outcome.answer
        if (answer != null) return LedgerResult.Stored(answer, outcome.expiresAtMillis)
        return LedgerResult.Unknown(
            UnknownReason.ANSWER_NOT_KEPT,
            "the request ran once; its answer was too large to keep",
        )
    }

    private fun dispatch(attempt: Attempt, expiresAtMillis: Long) {
        checkInvariant(attempt.phase == Phase.RESERVING && attempt.id !in abandoned) {
            "attempt ${attempt.id} would be dispatched twice or after it was abandoned"
        }
        byCall.remove(attempt.callId)
        attempt.phase = Phase.DISPATCHED
        attempt.nextSendAtMillis = Long.MAX_VALUE
        attempt.expiresAtMillis = expiresAtMillis
        context.emit(LedgerEffect.Dispatch(attempt.ticket))
    }

    private fun answered(attempt: Attempt, answer: LedgerAnswer, nowMillis: Long) {
        finish(attempt, LedgerResult.Answered(answer, attempt.expiresAtMillis))
        attempt.phase = Phase.COMPLETING
        attempt.answer = answer.kept(limits.answerBytes)
        attempt.completeUntilMillis = nowMillis + limits.completeMillis
        attempt.backoffMillis = limits.resendMillis
        completing++
        newCall(attempt)
        sendComplete(attempt, nowMillis)
        if (completing > limits.completingCount) {
            forget(attempts.values.first { it.phase == Phase.COMPLETING })
        }
    }

    private fun giveUp(attempt: Attempt) {
        sendVoid(attempt)
        if (attempt.sawWriter) {
            endNotRun(attempt, NotRunReason.DEADLINE, "the key could not be reserved in time")
        } else {
            val detail = "the instance that writes the key's shard did not answer"
            endNotRun(attempt, NotRunReason.WRITER_UNREACHABLE, detail)
        }
    }

    private fun endNotRun(attempt: Attempt, reason: NotRunReason, detail: String) =
        if (attempt.isOtherInFlight) end(attempt, inFlight)
        else end(attempt, LedgerResult.NotRun(reason, detail, RETRY_MILLIS))

    private fun end(attempt: Attempt, result: LedgerResult) {
        checkInvariant(attempt.phase == Phase.RESERVING) {
            "attempt ${attempt.id} was dispatched and would be called ${result::class.simpleName}"
        }
        abandon(attempt)
        finish(attempt, result)
    }

    private fun finish(attempt: Attempt, result: LedgerResult) {
        val isFirst = byTicket.remove(attempt.ticket) === attempt
        checkInvariant(isFirst) { "ticket ${attempt.ticket} would be answered twice" }
        context.emit(LedgerEffect.Finish(attempt.ticket, result))
    }

    /** From here on the attempt is never dispatched. */
    private fun abandon(attempt: Attempt) {
        forget(attempt)
        abandoned += attempt.id
        if (abandoned.size > limits.abandonedCount) abandoned.remove(abandoned.first())
    }

    private fun forget(attempt: Attempt) {
        if (attempt.phase == Phase.COMPLETING) completing--
        attempts.remove(attempt.id)
        byCall.remove(attempt.callId)
    }

    private fun newCall(attempt: Attempt) {
        attempt.callId = context.nextCallId()
        byCall[attempt.callId] = attempt
    }

    private fun sendReserve(attempt: Attempt, nowMillis: Long) {
        attempt.nextSendAtMillis = nowMillis + limits.resendMillis
        val request = attempt.request
        val message =
            LedgerMessage.Reserve(
                attempt.callId,
                attempt.shard,
                request.key.recordName,
                attempt.id,
                request.key.createdAtMillis,
                request.retentionMillis,
                request.bodyHash,
                context.instanceId,
            )
        send(attempt, message)
    }

    private fun sendComplete(attempt: Attempt, nowMillis: Long) {
        attempt.nextSendAtMillis = nowMillis + attempt.backoffMillis
        attempt.backoffMillis = minOf(attempt.backoffMillis * 2, limits.completeResendMaxMillis)
        val key = attempt.request.key.recordName
        val message =
            LedgerMessage.Complete(attempt.callId, attempt.shard, key, attempt.id, attempt.answer)
        send(attempt, message)
    }

    private fun sendVoid(attempt: Attempt) {
        val key = attempt.request.key.recordName
        send(attempt, LedgerMessage.Void(context.nextCallId(), attempt.shard, key, attempt.id))
    }

    private fun send(attempt: Attempt, message: LedgerMessage) {
        val redirect = attempt.redirectTo?.takeIf(context.isLive)
        attempt.redirectTo = null
        val writer = redirect ?: context.selectedWriter(attempt.shard) ?: return
        attempt.sentTo = writer
        context.emit(LedgerEffect.Send(writer, message))
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
        val inDoubt =
            LedgerResult.Unknown(
                UnknownReason.IN_DOUBT,
                "an earlier request with this key may have run and its entry is gone",
            )
        val inFlight =
            LedgerResult.Unknown(
                UnknownReason.IN_FLIGHT,
                "another request with this key is being executed",
            )
    }
}
