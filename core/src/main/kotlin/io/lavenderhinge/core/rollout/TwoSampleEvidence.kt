package io.lavenderhinge.core.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/**
 * E-value test that compares two event rates with a tolerated difference.
 *
 * Each block is scored by the likelihood ratio between an alternative (old rate, worse new rate)
 * and the closest pair of rates within the hypothesis `new <= old + tolerance`. The alternative is
 * fixed before the block, so the expected ratio is at most 1 under the hypothesis, for any rates,
 * even if they vary from block to block alike for both versions (a burst, a slow disk). The product
 * over blocks is therefore a supermartingale, and by Ville's inequality it reaches `1/p` with
 * probability at most `p`.
 *
 * A mixture over effect sizes avoids having to choose one in advance. A mixture over starting times
 * detects late faults quickly: half of the weight starts at once, the rest is spread over
 * [RESTARTS] later times.
 */
class TwoSampleEvidence(
    private val toleranceFraction: Double,
    private val priorRate: Double,
    private val window: TestWindow,
    carriedLogEvidence: Double? = null,
) : SequentialTest {
    private val logWealth =
        DoubleArray(EFFECTS.size) {
            (carriedLogEvidence ?: ln(INITIAL_WEIGHT)) - ln(EFFECTS.size.toDouble())
        }
    private val restartMillis =
        max(MIN_RESTART_MILLIS, (window.deadlineMillis - window.startMillis) / RESTARTS)
    private var nextRestart: Int? = null
    private val oldRates = HashMap<String, OldVersionRate>()

    override val logEvidence: Double
        get() = logSumExp(logWealth)

    override fun observe(route: String, block: Block, nowMillis: Long) {
        startDueAlternatives(nowMillis)
        val oldRate = oldRates.getOrPut(route) { OldVersionRate(priorRate) }
        if (block.oldRequests > 0 && block.newRequests > 0) score(block, oldRate.rate)
        oldRate.update(block)
    }

    // A starting time that passes while no controller runs is skipped. Its weight must not be used
    // later, because the alternative would then depend on data that is already known.
    private fun startDueAlternatives(nowMillis: Long) {
        val dueRestart = ((nowMillis - window.startMillis) / restartMillis).toInt()
        val from = nextRestart
        nextRestart = dueRestart + 1
        if (from == null || dueRestart < from || dueRestart > RESTARTS) return
        val weight = ln((1 - INITIAL_WEIGHT) / RESTARTS / EFFECTS.size)
        for (i in logWealth.indices) logWealth[i] = logAddExp(logWealth[i], weight)
    }

    private fun score(block: Block, oldRate: Double) {
        val nullRate = min(oldRate + toleranceFraction, MAX_NULL_RATE)
        for (i in EFFECTS.indices) {
            val newRate = min(nullRate + EFFECTS[i] * (1 - nullRate), MAX_RATE)
            logWealth[i] += logRatio(block, oldRate, newRate)
        }
    }

    private fun logRatio(block: Block, oldRate: Double, newRate: Double): Double {
        val nullOldRate = closestNullRate(block, oldRate, newRate)
        return logLikelihood(block.oldRequests, block.oldEvents, oldRate, nullOldRate) +
            logLikelihood(
                block.newRequests,
                block.newEvents,
                newRate,
                nullOldRate + toleranceFraction,
            )
    }

    // The divergence from the alternative is convex along the boundary of the hypothesis, so
    // bisection on the sign of its derivative finds the minimum.
    private fun closestNullRate(block: Block, oldRate: Double, newRate: Double): Double {
        var low = oldRate
        var high = max(oldRate, newRate - toleranceFraction)
        repeat(BISECTIONS) {
            val middle = (low + high) / 2
            val shifted = middle + toleranceFraction
            val slope =
                block.oldRequests * (middle - oldRate) / (middle * (1 - middle)) +
                    block.newRequests * (shifted - newRate) / (shifted * (1 - shifted))
            if (slope < 0) low = middle else high = middle
        }
        return (low + high) / 2
    }

    /** Parameters of the test. */
    companion object {
        /** Number of later starting times that share the weight that does not start at once. */
        const val RESTARTS = 256

        /** Tolerated increase of the fraction of failed requests. */
        const val ERROR_TOLERANCE = 0.002

        /**
         * Tolerated increase of the fraction of slow requests, which is 5% for the old version by
         * definition of the 95th percentile. A newly started version has a colder prefix cache.
         */
        const val SLOW_TOLERANCE = 0.03

        /** Factory of the tests that controllers and instances use. */
        val factory = SequentialTestFactory { metric, window, carried ->
            when (metric) {
                Metric.ERRORS -> TwoSampleEvidence(ERROR_TOLERANCE, ERROR_PRIOR, window, carried)
                Metric.SLOW -> TwoSampleEvidence(SLOW_TOLERANCE, SLOW_PRIOR, window, carried)
            }
        }

        private val EFFECTS = doubleArrayOf(0.01, 0.04, 0.15, 0.5, 0.95)
        private const val INITIAL_WEIGHT = 0.5
        private const val MIN_RESTART_MILLIS = 30_000L
        private const val ERROR_PRIOR = 0.002
        private const val SLOW_PRIOR = 0.05
        private const val MAX_NULL_RATE = 0.95
        private const val MAX_RATE = 0.999
        private const val BISECTIONS = 30

        private fun logLikelihood(requests: Long, events: Long, rate: Double, nullRate: Double) =
            events * ln(rate / nullRate) + (requests - events) * ln((1 - rate) / (1 - nullRate))
    }
}

internal fun logAddExp(a: Double, b: Double): Double {
    val larger = max(a, b)
    if (larger == Double.NEGATIVE_INFINITY) return larger
    return larger + ln(1 + exp(min(a, b) - larger))
}

internal fun logSumExp(values: DoubleArray): Double =
    values.fold(Double.NEGATIVE_INFINITY) { sum, value -> logAddExp(sum, value) }
