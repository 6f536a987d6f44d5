package io.lavenderhinge.core.forwarding

/**
 * Predicts the time to the first event of a request from the length of its prompt.
 *
 * It is a least-squares line through the samples of a whole pool, older samples weighing less. Each
 * sample is scaled to a server of average speed first, so that unlike servers share one line.
 */
internal class FirstEventModel {
    private var weight = 0.0
    private var sumTokens = 0.0
    private var sumMillis = 0.0
    private var sumTokensSquared = 0.0
    private var sumProduct = 0.0

    /** Milliseconds for a prompt of no length. */
    var baseMillis = INITIAL_BASE_MILLIS
        private set

    /** Milliseconds for each prompt token. */
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
        /** A sample loses half of its weight after about 140 others. */
        const val DECAY = 0.995
        const val MIN_WEIGHT = 4.0
        const val INITIAL_BASE_MILLIS = 30.0
        const val MIN_BASE_MILLIS = 1.0
    }
}
