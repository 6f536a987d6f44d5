package io.lavenderhinge.core.limit

import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/**
 * Gradient-based concurrency limit of a plain service. The limit shrinks as the latency grows above
 * its unloaded baseline, and leaves room for a short queue.
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
     * The baseline rises only at a load too low to cause the latency. Otherwise a queue inside the
     * service would slowly become part of the baseline. If a server becomes permanently slower, the
     * limit first shrinks to that low load, where the baseline can then rise.
     */
    private fun baselineGain(load: Double): Double =
        when {
            smoothedMillis < baselineMillis -> BASELINE_FALL_GAIN
            load <= UNLOADED_SEQUENCES -> BASELINE_RISE_GAIN
            else -> 0.0
        }

    private fun smoothed(old: Double, new: Double, gain: Double) = old + gain * (new - old)

    private companion object {
        /** Call durations vary by a factor of 100, so the average spans about 50 calls. */
        const val LATENCY_GAIN = 0.02
        const val BASELINE_FALL_GAIN = 0.05
        const val BASELINE_RISE_GAIN = 0.02
        const val UNLOADED_SEQUENCES = 2.0
        /** The latency may double before the limit shrinks, since call durations vary widely. */
        const val LATENCY_TOLERANCE = 2.0
        const val MIN_GRADIENT = 0.5
        const val LIMIT_GAIN = 0.05
        const val MAX_SEQUENCES = 1_024.0
    }
}
