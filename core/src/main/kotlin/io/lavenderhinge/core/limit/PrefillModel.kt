package io.lavenderhinge.core.limit

import kotlin.math.max

/**
 * Estimates the prefill time from the number of uncached prompt tokens, using a linear regression
 * with exponential forgetting. Assumes [INITIAL_MILLIS_PER_TOKEN] until there are enough samples.
 */
class PrefillModel {
    private var weight = 0.0
    private var meanTokens = 0.0
    private var meanMillis = 0.0
    private var variance = 0.0
    private var covariance = 0.0

    /** Adds the [firstTokenMillis] of a request with [tokens] uncached prompt tokens. */
    fun observe(tokens: Int, firstTokenMillis: Long) {
        weight = weight * FORGETTING + 1.0
        val gain = 1.0 / weight
        val tokenError = tokens - meanTokens
        val millisError = firstTokenMillis - meanMillis
        meanTokens += gain * tokenError
        meanMillis += gain * millisError
        variance += gain * (tokenError * (tokens - meanTokens) - variance)
        covariance += gain * (tokenError * (firstTokenMillis - meanMillis) - covariance)
    }

    /** Prefill time per uncached token. */
    fun millisPerToken(): Double =
        if (weight < MIN_SAMPLES || variance < MIN_VARIANCE) INITIAL_MILLIS_PER_TOKEN
        else (covariance / variance).coerceIn(MIN_MILLIS_PER_TOKEN, MAX_MILLIS_PER_TOKEN)

    /** Part of the time from dispatch to first token that does not depend on the prompt. */
    fun baseMillis(): Double =
        if (weight < MIN_SAMPLES) 0.0 else max(0.0, meanMillis - millisPerToken() * meanTokens)

    /** Expected time from dispatch to first token for [tokens] uncached prompt tokens. */
    fun expectedMillis(tokens: Int): Double = baseMillis() + millisPerToken() * tokens

    private companion object {
        const val FORGETTING = 0.98
        const val MIN_SAMPLES = 4.0
        const val MIN_VARIANCE = 100.0
        const val INITIAL_MILLIS_PER_TOKEN = 0.1
        const val MIN_MILLIS_PER_TOKEN = 0.001
        const val MAX_MILLIS_PER_TOKEN = 10.0
    }
}
