package io.lavenderhinge.core.forwarding

/**
 * Predicts the time to the first event of a request from the length of its prompt.
 *
 * Uses a linear least-squares fit over the samples of the whole pool with exponentially decaying
 * weights. Samples are first normalized to a server of average speed, so that servers of different
 * speed share one model.
 */
internal class FirstEventModel {
    private var weight = 0.0
    private var sumTokens = 0.0
    private var sumMillis = 0.0
    private var sumTokensSquared = 0.0
    private var sumProduct = 0.0

    /** Predicted time for an empty prompt. */
    var baseMillis = INITIAL_BASE_MILLIS
        private set

    /** Predicted additional time for each prompt token. */
    var millisPerToken = 0.0
        private set

    fun predictMillis(tokens: Double): Double = baseMillis + millisPerToken * tokens

    fun observe(tokens: Double, millis: Double) {
        weight = weight * DECAY + 1
        sumTokens = sumTokens * DECAY + tokens
        sumMillis = sumMillis * DECAY + millis
        sumTokensSquared = sumTokensSquared * DECAY + tokens * tokens
        sumProduct = sumProduct * DECAY + tokens * millis
        if (weight >= MIN_WEIGHT) fit()
    }

    private fun fit() {
        val variance = sumTokensSquared - sumTokens * sumTokens / weight
        val covariance = sumProduct - sumTokens * sumMillis / weight
        millisPerToken = if (variance < 1) 0.0 else (covariance / variance).coerceAtLeast(0.0)
        baseMillis =
            ((sumMillis - millisPerToken * sumTokens) / weight).coerceAtLeast(MIN_BASE_MILLIS)
    }

    private companion object {
        /** Halves the weight of a sample after about 140 further samples. */
        const val DECAY = 0.995
        const val MIN_WEIGHT = 4.0
        const val INITIAL_BASE_MILLIS = 30.0
        const val MIN_BASE_MILLIS = 1.0
    }
}
