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
    private var shortMillis = 0.0
    private var baseMillis = 0.0

    override val sequences: Int
        get() = max(1, limit.toInt())

    override val contextTokens: Long = Long.MAX_VALUE

    override fun observe(sample: LimitSample, nowMillis: Long) {
        val latency = sample.firstTokenMillis.toDouble()
        if (latency <= 0) return
        shortMillis = if (shortMillis == 0.0) latency else average(shortMillis, latency, SHORT_GAIN)
        baseMillis =
            if (baseMillis == 0.0) latency
            else average(baseMillis, shortMillis, baseGain(sample.meanSequences))
        val gradient = (TOLERANCE * baseMillis / shortMillis).coerceIn(MIN_GRADIENT, 1.0)
        val isUsed = sample.meanSequences >= limit / 2
        val wanted = limit * gradient + sqrt(limit)
        if (gradient >= 1.0 && !isUsed) return
        limit = average(limit, wanted, LIMIT_GAIN).coerceIn(1.0, MAX_SEQUENCES)
    }

    override fun reported(running: Int, waiting: Int, nowMillis: Long) {
        if (waiting > 0) limit = max(1.0, min(limit, running.toDouble()))
    }

    /**
     * The base rises only where the latency cannot be due to this home's load. Otherwise a queue
     * inside the service would slowly become the norm; a server that is slower for good is pushed
     * to that load and starts from there.
     */
    private fun baseGain(load: Double): Double =
        when {
            shortMillis < baseMillis -> FALL
            load <= UNLOADED_SEQUENCES -> RISE
            else -> 0.0
        }

    private fun average(old: Double, new: Double, gain: Double) = old + gain * (new - old)

    private companion object {
        /** Single calls differ a hundredfold in length; the average needs about 50 of them. */
        const val SHORT_GAIN = 0.02
        const val FALL = 0.05
        const val RISE = 0.02
        const val UNLOADED_SEQUENCES = 2.0
        /** Latency may double before the limit shrinks; single requests differ widely. */
        const val TOLERANCE = 2.0
        const val MIN_GRADIENT = 0.5
        const val LIMIT_GAIN = 0.05
        const val MAX_SEQUENCES = 1_024.0
    }
}
