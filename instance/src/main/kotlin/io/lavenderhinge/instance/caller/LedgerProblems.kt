package io.lavenderhinge.instance.caller

import arrow.core.Either
import arrow.core.right
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.NotRunReason
import io.lavenderhinge.core.ledger.UnknownReason

/** What callers are told of the ledger's results. */
internal object LedgerProblems {
    val MISMATCH =
        Problem.notRun(
            422,
            "idempotency-key-reused",
            "the key belongs to another request; use a new key for a new request",
        )
    val TOO_OLD =
        Problem.unknown(
            409,
            "idempotency-key-expired",
            "the request may have run before; look up its effect before using a new key",
        )

    /** Reads the caller's key, or makes one where there is none. */
    fun parseKey(
        text: String?,
        context: RequestContext,
        nowMillis: Long,
        acceptUntimed: Boolean,
        generate: (nowMillis: Long) -> IdempotencyKey,
    ): Either<Problem, IdempotencyKey> {
        if (text == null) return generate(nowMillis).right()
        return IdempotencyKey.parse(context.workspace.id, text, nowMillis, acceptUntimed).mapLeft {
            Problem.notRun(400, "invalid-idempotency-key", it.message)
        }
    }

    fun of(result: LedgerResult.NotRun): Problem {
        val code =
            when (result.reason) {
                NotRunReason.PLATFORM_UNAVAILABLE -> "ledger-unavailable"
                NotRunReason.DEADLINE -> "deadline-infeasible"
                NotRunReason.NEVER_SENT -> "no-backend-server"
            }
        val remedy = "the request did not run; repeat it with the same key"
        return Problem.notRun(503, code, remedy, result.retryAfterMillis)
    }

    fun of(result: LedgerResult.Unknown): Problem =
        when (result.reason) {
            UnknownReason.IN_FLIGHT ->
                Problem.unknown(
                    409,
                    "request-in-flight",
                    "a request with this key is under way; repeat later to get its answer",
                )
            UnknownReason.IN_DOUBT ->
                Problem.unknown(
                    409,
                    "outcome-in-doubt",
                    "the request may have run; look up its effect before using a new key",
                )
            UnknownReason.ANSWER_LOST -> Problem.ENGINE_UNKNOWN
            UnknownReason.ANSWER_NOT_KEPT ->
                Problem.unknown(
                    409,
                    "answer-not-kept",
                    "the request ran once; its answer was too large to keep, look up its effect",
                )
        }
}
