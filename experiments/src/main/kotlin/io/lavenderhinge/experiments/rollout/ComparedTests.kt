package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.Block
import io.lavenderhinge.core.rollout.Metric
import io.lavenderhinge.core.rollout.SequentialTest
import io.lavenderhinge.core.rollout.SequentialTestFactory
import io.lavenderhinge.core.rollout.TwoSampleEvidence
import kotlin.math.ln
import kotlin.math.max

/** Sequential tests that the experiment compares. [E_VALUE] is the one in production use. */
enum class ComparedTest(val factory: SequentialTestFactory) {
    E_VALUE(TwoSampleEvidence.factory),
    SPRT(sprt(restarts = false)),
    SPRT_RESTARTED(sprt(restarts = true)),
    THRESHOLD(
        SequentialTestFactory { metric, _, _ ->
            when (metric) {
                Metric.ERRORS -> RateThreshold(margin = 0.02)
                Metric.SLOW -> RateThreshold(margin = 0.10)
            }
        }
    ),
}

private fun sprt(restarts: Boolean) = SequentialTestFactory { metric, _, carriedLogEvidence ->
    when (metric) {
        Metric.ERRORS ->
            Sprt(effectSize = 0.05, priorRate = 0.002, restarts, carriedLogEvidence ?: 0.0)
        Metric.SLOW ->
            Sprt(effectSize = 0.15, priorRate = 0.05, restarts, carriedLogEvidence ?: 0.0)
    }
}

/**
 * Wald's sequential probability ratio test of the old version's rate against that rate plus
 * [effectSize].
 *
 * The old rate is estimated from the old version's requests and then treated as known. The new
 * version is monitored until the rollout ends, so acceptance does not end the test: with [restarts]
 * the ratio is reset to zero, otherwise the evidence in favour of the version accumulates.
 */
class Sprt(
    private val effectSize: Double,
    private val priorRate: Double,
    private val restarts: Boolean,
    carriedLogEvidence: Double,
) : SequentialTest {
    private val baselineByRoute = HashMap<String, Pair<Double, Double>>()
    private var logRatio = carriedLogEvidence

    override val logEvidence: Double
        get() = logRatio

    override fun observe(route: String, block: Block, nowMillis: Long) {
        val (events, requests) =
            baselineByRoute[route] ?: Pair(priorRate * PRIOR_REQUEST_COUNT, PRIOR_REQUEST_COUNT)
        val baseline = Pair(events + block.oldEvents, requests + block.oldRequests)
        baselineByRoute[route] = baseline
        val baselineRate = max(baseline.first / baseline.second, MIN_RATE)
        val degradedRate = (baselineRate + effectSize).coerceAtMost(MAX_RATE)
        val nonEvents = block.newRequests - block.newEvents
        logRatio +=
            block.newEvents * ln(degradedRate / baselineRate) +
                nonEvents * ln((1 - degradedRate) / (1 - baselineRate))
        if (restarts && logRatio < ACCEPTANCE_LOG_RATIO) logRatio = 0.0
    }

    private companion object {
        const val PRIOR_REQUEST_COUNT = 50.0
        const val MIN_RATE = 1e-4
        const val MAX_RATE = 0.99
        val ACCEPTANCE_LOG_RATIO = ln(0.01)
    }
}

/** Rejects the new version when its event rate exceeds that of the old version by [margin]. */
class RateThreshold(private val margin: Double) : SequentialTest {
    private var oldRequests = 0L
    private var oldEvents = 0L
    private var newRequests = 0L
    private var newEvents = 0L

    override val logEvidence: Double
        get() = if (exceeded()) Double.MAX_VALUE / 2 else 0.0

    override fun observe(route: String, block: Block, nowMillis: Long) {
        oldRequests += block.oldRequests
        oldEvents += block.oldEvents
        newRequests += block.newRequests
        newEvents += block.newEvents
    }

    private fun exceeded(): Boolean {
        if (newRequests < MIN_NEW_REQUESTS || oldRequests == 0L) return false
        return newEvents.toDouble() / newRequests > oldEvents.toDouble() / oldRequests + margin
    }

    private companion object {
        const val MIN_NEW_REQUESTS = 50L
    }
}
