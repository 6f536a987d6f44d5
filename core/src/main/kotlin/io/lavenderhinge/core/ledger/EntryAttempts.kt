package io.lavenderhinge.core.ledger

/** Dependencies of [EntryAttempts]. */
internal class EntryContext(
    val instanceId: String,
    /**
     * Prefix of attempt ids, unique per process, so that a restarted entry does not take attempts
     * of the earlier process for its own.
     */
    val incarnation: String,
    val limits: LedgerLimits,
    val selectedWriter: (shard: Int) -> String?,
    val isLive: (instanceId: String) -> Boolean,
    val nextCallId: () -> Long,
    val emit: (LedgerEffect) -> Unit,
)

/**
 * The entry side of the ledger: reserves keys, dispatches each attempt at most once, reports
 * answers to the shard writers and answers their owner queries.
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
        val reserveDeadlineMillis: Long,
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

        /**
         * Another attempt with the same key is running, so the result of this one must not be
         * [LedgerResult.NotRun].
         */
        var isKeyInFlight = false
        var hasWriterReplied = false
    }

    private val limits = context.limits
    private val attempts = LinkedHashMap<String, Attempt>()
    private val byTicket = HashMap<Long, Attempt>()
    private val byCall = HashMap<Long, Attempt>()
    private val abandoned = LinkedHashSet<String>()
    private var attemptNumber = 0L
    private var completingCount = 0

    /** Number of attempts whose outcome is not confirmed to be in the store. */
    val openCount: Int
        get() = attempts.size

    val nextWakeMillis: Long
        get() =
            attempts.values.minOfOrNull {
                when (it.phase) {
                    Phase.RESERVING -> minOf(it.nextSendAtMillis, it.reserveDeadlineMillis)
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
                ShardMapping.shardOf(request.key.recordName, limits.shardCount),
                minOf(request.deadlineAtMillis, nowMillis + limits.reserveTimeoutMillis),
            )
        attempts[attempt.id] = attempt
        byTicket[ticket] = attempt
        assignCallId(attempt)
        sendReserve(attempt, nowMillis)
    }

    /**
     * Called when the caller has disconnected. Abandons its attempt unless it was already
     * dispatched.
     */
    fun cancel(ticket: Long) {
        val attempt = byTicket[ticket] ?: return
        if (attempt.phase != Phase.RESERVING) return
        byTicket.remove(ticket)
        abandon(attempt)
        sendVoid(attempt)
    }

    fun onDispatchEnded(ticket: Long, outcome: DispatchOutcome, nowMillis: Long) {
        val attempt = byTicket[ticket] ?: return
        checkInvariant(attempt.phase == Phase.DISPATCHED) {
            "attempt ${attempt.id} ended a dispatch in phase ${attempt.phase}"
        }
        when (outcome) {
            is DispatchOutcome.Answered -> onAnswer(attempt, outcome.answer, nowMillis)
            is DispatchOutcome.NeverSent -> {
                abandon(attempt)
                sendVoid(attempt)
                val result =
                    LedgerResult.NotRun(NotRunReason.NEVER_SENT, outcome.detail, RETRY_AFTER_MILLIS)
                finish(attempt, result)
            }
            is DispatchOutcome.Lost -> {
                removeAttempt(attempt)
                finish(attempt, LedgerResult.Unknown(UnknownReason.ANSWER_LOST, outcome.detail))
            }
        }
    }

    fun onReply(callId: Long, outcome: LedgerOutcome, nowMillis: Long) {
        val attempt = byCall[callId] ?: return
        when (attempt.phase) {
            Phase.RESERVING -> onReserveReply(attempt, outcome, nowMillis)
            Phase.DISPATCHED -> return
            Phase.COMPLETING -> if (outcome is LedgerOutcome.Recorded) removeAttempt(attempt)
        }
    }

    /**
     * The state of [attemptId]. [LedgerOutcome.OwnerNeverDispatched] is returned only for attempts
     * that this process has on record as abandoned; any other attempt is reported as unknown.
     */
    fun answerOwnerQuery(attemptId: String): LedgerOutcome =
        when (attemptId) {
            in attempts -> LedgerOutcome.OwnerActive
            in abandoned -> LedgerOutcome.OwnerNeverDispatched
            else -> LedgerOutcome.OwnerUnknown
        }

    fun onLinkLost(instanceId: String, nowMillis: Long) =
        attempts.values
            .filter { it.sentTo == instanceId }
            .forEach {
                it.nextSendAtMillis =
                    minOf(it.nextSendAtMillis, nowMillis + limits.redirectDelayMillis)
            }

    fun onWake(nowMillis: Long) {
        val due = attempts.values.filter { isDue(it, nowMillis) }
        for (attempt in due) {
            when (attempt.phase) {
                Phase.RESERVING ->
                    if (nowMillis >= attempt.reserveDeadlineMillis) giveUpReservation(attempt)
                    else sendReserve(attempt, nowMillis)
                Phase.DISPATCHED -> continue
                Phase.COMPLETING ->
                    if (nowMillis >= attempt.completeUntilMillis) removeAttempt(attempt)
                    else sendComplete(attempt, nowMillis)
            }
        }
    }

    private fun isDue(attempt: Attempt, nowMillis: Long): Boolean =
        attempt.nextSendAtMillis <= nowMillis ||
            (attempt.phase == Phase.RESERVING && attempt.reserveDeadlineMillis <= nowMillis)

    private fun onReserveReply(attempt: Attempt, outcome: LedgerOutcome, nowMillis: Long) {
        if (outcome !is LedgerOutcome.NotWriter) attempt.hasWriterReplied = true
        when (outcome) {
            is LedgerOutcome.Recorded ->
                if (nowMillis >= attempt.reserveDeadlineMillis) giveUpReservation(attempt)
                else dispatch(attempt, outcome.expiresAtMillis)
            is LedgerOutcome.Completed -> finishUndispatched(attempt, storedResult(outcome))
            LedgerOutcome.InFlight -> {
                attempt.isKeyInFlight = true
                attempt.nextSendAtMillis = nowMillis + limits.pollIntervalMillis
            }
            LedgerOutcome.InDoubt -> finishUndispatched(attempt, inDoubt)
            LedgerOutcome.Mismatch -> finishUndispatched(attempt, LedgerResult.Mismatch)
            LedgerOutcome.TooOld -> finishUndispatched(attempt, LedgerResult.TooOld)
            is LedgerOutcome.NotWriter -> {
                attempt.redirectTo = outcome.writerId
                attempt.nextSendAtMillis = nowMillis + limits.redirectDelayMillis
            }
            is LedgerOutcome.Unavailable ->
                finishNotRun(attempt, NotRunReason.PLATFORM_UNAVAILABLE, outcome.detail)
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

    private fun onAnswer(attempt: Attempt, answer: LedgerAnswer, nowMillis: Long) {
        finish(attempt, LedgerResult.Answered(answer, attempt.expiresAtMillis))
        attempt.phase = Phase.COMPLETING
        attempt.answer = answer.toStorable(limits.maxAnswerBytes)
        attempt.completeUntilMillis = nowMillis + limits.completeTimeoutMillis
        attempt.backoffMillis = limits.resendIntervalMillis
        completingCount++
        assignCallId(attempt)
        sendComplete(attempt, nowMillis)
        if (completingCount > limits.maxCompletingAttempts) {
            removeAttempt(attempts.values.first { it.phase == Phase.COMPLETING })
        }
    }

    private fun giveUpReservation(attempt: Attempt) {
        sendVoid(attempt)
        if (attempt.hasWriterReplied) {
            finishNotRun(attempt, NotRunReason.DEADLINE, "the key could not be reserved in time")
        } else {
            val detail = "the instance that writes the key's shard did not answer"
            finishNotRun(attempt, NotRunReason.WRITER_UNREACHABLE, detail)
        }
    }

    private fun finishNotRun(attempt: Attempt, reason: NotRunReason, detail: String) =
        if (attempt.isKeyInFlight) finishUndispatched(attempt, inFlight)
        else finishUndispatched(attempt, LedgerResult.NotRun(reason, detail, RETRY_AFTER_MILLIS))

    private fun finishUndispatched(attempt: Attempt, result: LedgerResult) {
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

    /** Marks [attempt] as abandoned. It must not be dispatched afterwards. */
    private fun abandon(attempt: Attempt) {
        removeAttempt(attempt)
        abandoned += attempt.id
        if (abandoned.size > limits.maxAbandonedAttempts) abandoned.remove(abandoned.first())
    }

    private fun removeAttempt(attempt: Attempt) {
        if (attempt.phase == Phase.COMPLETING) completingCount--
        attempts.remove(attempt.id)
        byCall.remove(attempt.callId)
    }

    private fun assignCallId(attempt: Attempt) {
        attempt.callId = context.nextCallId()
        byCall[attempt.callId] = attempt
    }

    private fun sendReserve(attempt: Attempt, nowMillis: Long) {
        attempt.nextSendAtMillis = nowMillis + limits.resendIntervalMillis
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
        attempt.backoffMillis = minOf(attempt.backoffMillis * 2, limits.maxCompleteResendMillis)
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
        const val RETRY_AFTER_MILLIS = 1_000L
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
