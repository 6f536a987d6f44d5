package io.lavenderhinge.core.limit

/**
 * Measurements of one finished request.
 *
 * [meanSequences] and [meanContextTokens] are the average load of the backend server while the
 * request was in service. Because each measurement is paired with the load that caused it, the
 * limit does not depend on how late measurements arrive. A time of zero was not observed.
 */
data class LimitSample(
    val firstTokenMillis: Long,
    val betweenTokensMicros: Long,
    val expectedPrefillMillis: Double,
    val meanSequences: Double,
    val meanContextTokens: Double,
)
