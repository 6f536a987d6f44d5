package io.lavenderhinge.core.scheduling

/** How a request in service ended. */
enum class ResultClass {
    OK,
    SERVER_ERROR,
    CONNECTION_FAILED,
    TIMEOUT,
    CANCELLED,
    DRAINING,
}

/**
 * What an entry observed of one request in service. For a plain service [firstTokenMillis] is the
 * time to the complete answer and the token counts are zero. Times of zero mean "not observed".
 */
data class SlotResult(
    val resultClass: ResultClass,
    val firstTokenMillis: Long = 0,
    val betweenTokensMicros: Long = 0,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
)
