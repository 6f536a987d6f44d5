package io.lavenderhinge.instance.caller

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.routing.SlotRefusal
import io.lavenderhinge.core.routing.SlotRefusalReason
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpStatus

/** Whether a failed request may have been run by a backend server. */
enum class ExecutionOutcome(val text: String) {
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}

/** An error reported to a caller: a stable [code], and a [remedy] that the caller can apply. */
data class Problem(
    val status: Int,
    val code: String,
    val remedy: String,
    val outcome: ExecutionOutcome,
    val retryAfterMillis: Long? = null,
) {
    /** Renders the `application/problem+json` document. */
    fun body(requestId: String): ByteArray =
        Json.render(
            mapOf(
                "status" to status,
                "code" to code,
                "remedy" to remedy,
                "outcome" to outcome.text,
                "requestId" to requestId,
            )
        )

    fun response(requestId: String): HttpResponse {
        val retryAfter =
            retryAfterMillis?.let { HttpField("Retry-After", ceilSeconds(it).toString()) }
        return HttpResponse(
            status,
            body(requestId),
            listOfNotNull(HttpField("X-Request-Id", requestId), retryAfter),
            "application/problem+json",
        )
    }

    private fun ceilSeconds(millis: Long): Long =
        (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

    companion object {
        private const val MILLIS_PER_SECOND = 1_000L
        private const val RETRY_AFTER_MILLIS = 1_000L
        /** A message stays in quarantine for minutes. */
        private const val QUARANTINE_RETRY_MILLIS = 60_000L

        fun notRun(status: Int, code: String, remedy: String, retryAfterMillis: Long? = null) =
            Problem(status, code, remedy, ExecutionOutcome.NOT_RUN, retryAfterMillis)

        fun unknown(status: Int, code: String, remedy: String) =
            Problem(status, code, remedy, ExecutionOutcome.UNKNOWN)

        val INVALID_REQUEST_ID =
            notRun(
                HttpStatus.BAD_REQUEST,
                "invalid-request-id",
                "use 1 to 128 visible ASCII characters",
            )
        val UNKNOWN_CREDENTIAL =
            notRun(
                HttpStatus.UNAUTHORIZED,
                "unknown-credential",
                "send the workspace's token as Authorization: Bearer",
            )
        val NO_ROUTE =
            notRun(
                HttpStatus.NOT_FOUND,
                "no-route",
                "check the path and the model against the settings",
            )
        val INVALID_BODY =
            notRun(
                HttpStatus.BAD_REQUEST,
                "invalid-body",
                "send a JSON object with a messages array of text contents",
            )
        val INVALID_DEADLINE =
            notRun(
                HttpStatus.BAD_REQUEST,
                "invalid-deadline",
                "send X-Deadline-Ms as a whole number from 1 to 3600000",
            )
        val METHOD_NOT_ALLOWED =
            notRun(HttpStatus.METHOD_NOT_ALLOWED, "method-not-allowed", "use POST on a model route")
        val NOT_READY =
            notRun(
                HttpStatus.UNAVAILABLE,
                "not-ready",
                "retry; this instance has no settings in force yet",
                RETRY_AFTER_MILLIS,
            )
        val ANSWER_LOST =
            unknown(
                HttpStatus.BAD_GATEWAY,
                "answer-lost",
                "the backend server's answer was lost; check before repeating",
            )
        val PREEMPTED =
            unknown(
                HttpStatus.UNAVAILABLE,
                "preempted",
                "urgent requests needed the backend server; repeat later",
            )
        val DEADLINE_EXCEEDED =
            unknown(
                HttpStatus.GATEWAY_TIMEOUT,
                "deadline-exceeded",
                "the request may have run; check before repeating",
            )

        val PROMPT_QUARANTINED =
            notRun(
                HttpStatus.UNAVAILABLE,
                "prompt-quarantined",
                "change the prompt; a message before the last one crashes the model's engines",
                QUARANTINE_RETRY_MILLIS,
            )
        val NO_BACKEND_SERVER =
            notRun(
                HttpStatus.UNAVAILABLE,
                "no-backend-server",
                "retry; no backend server took the request",
                RETRY_AFTER_MILLIS,
            )

        /** Maps a refused slot request to a problem. */
        fun of(refusal: SlotRefusal): Problem {
            val code =
                when (refusal.reason) {
                    SlotRefusalReason.NO_SERVER -> "no-backend-server"
                    SlotRefusalReason.DEADLINE -> "deadline-infeasible"
                    SlotRefusalReason.OVERLOADED -> "overloaded"
                    SlotRefusalReason.RETRY_BUDGET -> "retry-budget-exhausted"
                    SlotRefusalReason.SHUTDOWN -> "shutting-down"
                }
            return notRun(HttpStatus.UNAVAILABLE, code, refusal.message, refusal.retryAfterMillis)
        }
    }
}
