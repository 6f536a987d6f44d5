package io.lavenderhinge.experiments.workload

import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random

/** Log-normal distribution of lengths, clamped to the range from [min] to [max]. */
data class LengthDistribution(val median: Int, val sigma: Double, val min: Int, val max: Int) {
    fun sample(random: Random): Int =
        (median * exp(sigma * gaussian(random))).toInt().coerceIn(min, max)

    // Box-Muller transform; kotlin.random has no normal distribution.
    private fun gaussian(random: Random): Double =
        sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * PI * random.nextDouble())
}

/**
 * Returns a random generator for [purpose]. Drawing more values from it does not change the values
 * drawn for other purposes.
 */
internal fun seededRandom(seed: Long, purpose: String): Random =
    Random(seed * 1_000_003 + purpose.hashCode())

/** Returns a random index, with probabilities proportional to [weights]. */
internal fun pickWeighted(weights: List<Double>, random: Random): Int {
    var remaining = random.nextDouble() * weights.sum()
    for ((index, weight) in weights.withIndex()) {
        remaining -= weight
        if (remaining < 0) return index
    }
    return weights.lastIndex
}
