package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.limit.LimitStatement

/** Outcome of a request in service. */
enum class ResultClass {
    OK,
    SERVER_ERROR,
    CONNECTION_FAILED,
    TIMEOUT,
    CANCELLED,
    DRAINING,
}

/**
 * Measurements of one request in service. For a plain service, [firstTokenMillis] is the time to
 * the complete answer and the token counts are zero. A time of zero means that it was not observed.
 */
data class SlotResult(
    val resultClass: ResultClass,
    val firstTokenMillis: Long = 0,
    val betweenTokensMicros: Long = 0,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    /** Null if no response of the server was received. */
    val limitStatement: LimitStatement? = null,
)
