package io.lavenderhinge.core.forwarding

/**
 * Moving average of the tokens of a prompt part. Peers report which server holds a part but not its
 * size, so that it is counted as an average one.
 */
internal class MeanPartSize {
    private var meanTokens = 0.0

    /** The average, in tokens. */
    val mean: Int
        get() = meanTokens.toInt()

    /** Adds a part of [tokens] tokens. */
    fun add(tokens: Int) {
        val weight = if (meanTokens == 0.0) 1.0 else SAMPLE_WEIGHT
        meanTokens += (tokens - meanTokens) * weight
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.02
    }
}
