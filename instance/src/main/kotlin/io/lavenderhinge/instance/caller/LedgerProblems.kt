package io.lavenderhinge.instance.caller

import arrow.core.Either
import arrow.core.right
import io.lavenderhinge.core.ledger.IdempotencyKey
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.NotRunReason
import io.lavenderhinge.core.ledger.UnknownReason
import io.lavenderhinge.http.HttpStatus

/** Maps ledger results to the problems reported to callers. */
internal object LedgerProblems {
    val KEY_REUSED =
        Problem.notRun(
            HttpStatus.UNPROCESSABLE,
            "idempotency-key-reused",
            "the key belongs to another request; use a new key for a new request",
        )
    val KEY_EXPIRED =
        Problem.unknown(
            HttpStatus.CONFLICT,
            "idempotency-key-expired",
            "the request may have run before; look up its effect before using a new key",
        )

    /** Parses the caller's idempotency key, or generates one if [text] is null. */
    fun parseKey(
        text: String?,
        context: RequestContext,
        nowMillis: Long,
        acceptUntimed: Boolean,
        generate: (nowMillis: Long) -> IdempotencyKey,
    ): Either<Problem, IdempotencyKey> {
        if (text == null) return generate(nowMillis).right()
        return IdempotencyKey.parse(context.workspace.id, text, nowMillis, acceptUntimed).mapLeft {
            Problem.notRun(HttpStatus.BAD_REQUEST, "invalid-idempotency-key", it.message)
        }
    }

    fun of(result: LedgerResult.NotRun): Problem {
        val code =
            when (result.reason) {
                NotRunReason.PLATFORM_UNAVAILABLE,
                NotRunReason.WRITER_UNREACHABLE -> "ledger-unavailable"
                NotRunReason.DEADLINE -> "deadline-infeasible"
                NotRunReason.NEVER_SENT -> "no-backend-server"
            }
        val remedy = "the request did not run; repeat it with the same key"
        return Problem.notRun(HttpStatus.UNAVAILABLE, code, remedy, result.retryAfterMillis)
    }

    fun of(result: LedgerResult.Unknown): Problem =
        when (result.reason) {
            UnknownReason.IN_FLIGHT ->
                Problem.unknown(
                    HttpStatus.CONFLICT,
                    "request-in-flight",
                    "a request with this key is under way; repeat later to get its answer",
                )
            UnknownReason.IN_DOUBT ->
                Problem.unknown(
                    HttpStatus.CONFLICT,
                    "outcome-in-doubt",
                    "the request may have run; look up its effect before using a new key",
                )
            UnknownReason.ANSWER_LOST -> Problem.ANSWER_LOST
            UnknownReason.ANSWER_NOT_KEPT ->
                Problem.unknown(
                    HttpStatus.CONFLICT,
                    "answer-not-kept",
                    "the request ran once; its answer was too large to keep, look up its effect",
                )
        }
}
