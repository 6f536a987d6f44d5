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
        // The base follows a lower latency at once and a higher one slowly: a permanently slower
        // server must not keep its limit at 1, a short spike must not raise the base.
        baseMillis =
            if (baseMillis == 0.0) latency
            else average(baseMillis, shortMillis, if (shortMillis < baseMillis) FALL else RISE)
        val gradient = (TOLERANCE * baseMillis / shortMillis).coerceIn(MIN_GRADIENT, 1.0)
        val isUsed = sample.meanSequences >= limit / 2
        val wanted = limit * gradient + sqrt(limit)
        if (gradient >= 1.0 && !isUsed) return
        limit = average(limit, wanted, LIMIT_GAIN).coerceIn(1.0, MAX_SEQUENCES)
    }

    override fun reported(running: Int, waiting: Int, nowMillis: Long) {
        if (waiting > running) limit = max(1.0, min(limit, running.toDouble()))
    }

    private fun average(old: Double, new: Double, gain: Double) = old + gain * (new - old)

    private companion object {
        const val SHORT_GAIN = 0.1
        const val FALL = 0.5
        const val RISE = 0.0005
        /** Latency may double before the limit shrinks; single requests differ widely. */
        const val TOLERANCE = 2.0
        const val MIN_GRADIENT = 0.5
        const val LIMIT_GAIN = 0.05
        const val MAX_SEQUENCES = 1_024.0
    }
}
