package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.Block
import io.lavenderhinge.core.rollout.Metric
import io.lavenderhinge.core.rollout.SequentialTest
import io.lavenderhinge.core.rollout.SequentialTestFactory
import io.lavenderhinge.core.rollout.TwoSampleEvidence
import kotlin.math.ln
import kotlin.math.max

/** The tests that the experiment compares; the first is the one of the core. */
enum class ComparedTest(val factory: SequentialTestFactory) {
    E_VALUE(TwoSampleEvidence.factory),
    SPRT(sprt(restarts = false)),
    SPRT_RESTARTED(sprt(restarts = true)),
    THRESHOLD(
        SequentialTestFactory { metric, _, _ ->
            when (metric) {
                Metric.ERRORS -> Threshold(margin = 0.02)
                Metric.SLOW -> Threshold(margin = 0.10)
            }
        }
    ),
}

private fun sprt(restarts: Boolean) = SequentialTestFactory { metric, _, carried ->
    when (metric) {
        Metric.ERRORS -> Sprt(effect = 0.05, priorRate = 0.002, restarts, carried ?: 0.0)
        Metric.SLOW -> Sprt(effect = 0.15, priorRate = 0.05, restarts, carried ?: 0.0)
    }
}

/**
 * Wald's test of the old version's rate against that rate plus [effect].
 *
 * The old rate is estimated from the old version and then taken as known. The version must be
 * watched until the end, so that acceptance does not end the test: with [restarts] it begins again,
 * without it the evidence for the version is kept.
 */
class Sprt(
    private val effect: Double,
    private val priorRate: Double,
    private val restarts: Boolean,
    carried: Double,
) : SequentialTest {
    private val oldByRoute = HashMap<String, Pair<Double, Double>>()
    private var logRatio = carried

    override val logEvidence: Double
        get() = logRatio

    override fun observe(route: String, block: Block, nowMillis: Long) {
        val (events, requests) =
            oldByRoute[route] ?: Pair(priorRate * PRIOR_REQUESTS, PRIOR_REQUESTS)
        val old = Pair(events + block.oldEvents, requests + block.oldRequests)
        oldByRoute[route] = old
        val rate = max(old.first / old.second, MIN_RATE)
        val worse = (rate + effect).coerceAtMost(MAX_RATE)
        val good = block.newRequests - block.newEvents
        logRatio += block.newEvents * ln(worse / rate) + good * ln((1 - worse) / (1 - rate))
        if (restarts && logRatio < ACCEPT_LOG) logRatio = 0.0
    }

    private companion object {
        const val PRIOR_REQUESTS = 50.0
        const val MIN_RATE = 1e-4
        const val MAX_RATE = 0.99
        val ACCEPT_LOG = ln(0.01)
    }
}

/** Stops when the new version's share of events exceeds the old one's by [margin]. */
class Threshold(private val margin: Double) : SequentialTest {
    private var old = 0L
    private var oldEvents = 0L
    private var new = 0L
    private var newEvents = 0L

    override val logEvidence: Double
        get() = if (exceeded()) Double.MAX_VALUE / 2 else 0.0

    override fun observe(route: String, block: Block, nowMillis: Long) {
        old += block.oldRequests
        oldEvents += block.oldEvents
        new += block.newRequests
        newEvents += block.newEvents
    }

    private fun exceeded(): Boolean {
        if (new < MIN_REQUESTS || old == 0L) return false
        return newEvents.toDouble() / new > oldEvents.toDouble() / old + margin
    }

    private companion object {
        const val MIN_REQUESTS = 50L
    }
}
