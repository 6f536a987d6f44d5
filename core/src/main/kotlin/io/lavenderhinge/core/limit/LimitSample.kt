package io.lavenderhinge.core.limit

/**
 * One finished request as the limit sees it.
 *
 * [meanSequences] and [meanContextTokens] are the averages of the backend server's load over the
 * request's time in service. Pairing each observation with the load that caused it makes the limit
 * independent of how late observations arrive. Times of zero were not observed.
 */
data class LimitSample(
    val firstTokenMillis: Long,
    val betweenTokensMicros: Long,
    val expectedPrefillMillis: Double,
    val meanSequences: Double,
    val meanContextTokens: Double,
)
