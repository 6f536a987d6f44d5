package io.lavenderhinge.core.limit

import kotlin.math.max

/**
 * Estimates prefill time from the prompt tokens that were not in the cache, by a linear fit with
 * exponential forgetting. Until there are samples it assumes [INITIAL_MILLIS_PER_TOKEN].
 */
class PrefillModel {
    private var weight = 0.0
    private var meanTokens = 0.0
    private var meanMillis = 0.0
    private var variance = 0.0
    private var covariance = 0.0

    /** Takes the [firstTokenMillis] of a request that had to prefill [tokens]. */
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

    /** Milliseconds for each token that is not in the cache. */
    fun millisPerToken(): Double =
        if (weight < MIN_SAMPLES || variance < MIN_VARIANCE) INITIAL_MILLIS_PER_TOKEN
        else (covariance / variance).coerceIn(MIN_MILLIS_PER_TOKEN, MAX_MILLIS_PER_TOKEN)

    /** Time from dispatch to first token that does not depend on the prompt. */
    fun baseMillis(): Double =
        if (weight < MIN_SAMPLES) 0.0 else max(0.0, meanMillis - millisPerToken() * meanTokens)

    /** Expected time from dispatch to first token for [tokens] not in the cache. */
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
