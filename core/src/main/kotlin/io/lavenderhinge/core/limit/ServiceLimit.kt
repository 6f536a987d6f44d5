package io.lavenderhinge.core.limit

import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/**
 * Limit of a plain service, from its latency: the limit shrinks in proportion to the growth of the
 * latency over its value without load, and leaves room for a short queue.
 */
class ServiceLimit(private val initialSequences: Double = 8.0) : AdaptiveLimit {
    private var limit = initialSequences
    private var smoothedMillis = 0.0
    private var baselineMillis = 0.0

    override val sequences: Int
        get() = max(1, limit.toInt())

    override val contextTokens: Long = Long.MAX_VALUE

    override fun observe(sample: LimitSample, nowMillis: Long) {
        val latency = sample.firstTokenMillis.toDouble()
        if (latency <= 0) return
        smoothedMillis =
            if (smoothedMillis == 0.0) latency else smoothed(smoothedMillis, latency, LATENCY_GAIN)
        baselineMillis =
            if (baselineMillis == 0.0) latency
            else smoothed(baselineMillis, smoothedMillis, baselineGain(sample.meanSequences))
        val gradient =
            (LATENCY_TOLERANCE * baselineMillis / smoothedMillis).coerceIn(MIN_GRADIENT, 1.0)
        val isLoaded = sample.meanSequences >= limit / 2
        val target = limit * gradient + sqrt(limit)
        if (gradient >= 1.0 && !isLoaded) return
        limit = smoothed(limit, target, LIMIT_GAIN).coerceIn(1.0, MAX_SEQUENCES)
    }

    override fun onLoadReported(running: Int, waiting: Int, nowMillis: Long) {
        if (waiting > 0) limit = max(1.0, min(limit, running.toDouble()))
    }

    /**
     * The base rises only where the latency cannot be due to this home's load. Otherwise a queue
     * inside the service would slowly become the norm; a server that is slower for good is pushed
     * to that load and starts from there.
     */
    private fun baselineGain(load: Double): Double =
        when {
            smoothedMillis < baselineMillis -> BASELINE_FALL_GAIN
            load <= UNLOADED_SEQUENCES -> BASELINE_RISE_GAIN
            else -> 0.0
        }

    private fun smoothed(old: Double, new: Double, gain: Double) = old + gain * (new - old)

    private companion object {
        /** Single calls differ a hundredfold in length; the average needs about 50 of them. */
        const val LATENCY_GAIN = 0.02
        const val BASELINE_FALL_GAIN = 0.05
        const val BASELINE_RISE_GAIN = 0.02
        const val UNLOADED_SEQUENCES = 2.0
        /** Latency may double before the limit shrinks; single requests differ widely. */
        const val LATENCY_TOLERANCE = 2.0
        const val MIN_GRADIENT = 0.5
        const val LIMIT_GAIN = 0.05
        const val MAX_SEQUENCES = 1_024.0
    }
}
