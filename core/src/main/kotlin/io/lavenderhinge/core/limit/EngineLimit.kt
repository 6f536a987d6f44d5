package io.lavenderhinge.core.limit

import kotlin.math.max
import kotlin.math.min

/**
 * Concurrency limit of a model engine, just below the load at which it misses its latency targets.
 *
 * The time between tokens grows at most proportionally with the batch size. If a request measured
 * `t` at load `n` and `t` is below the target, then load `n * target / t` is sustainable. If `t` is
 * above the target, repeating this step converges to the sustainable load from above. The
 * calculation uses no hardware constants, so it adapts to hardware generations of any speed.
 */
class EngineLimit(private val settings: EngineLimitSettings = EngineLimitSettings()) :
    AdaptiveLimit {
    private var sequenceLimit = settings.initialSequences
    private var tokenLimit = settings.initialContextTokens
    private var marginFraction = INITIAL_MARGIN
    private val betweenTokensMisses = MissWindow(settings.missFraction)
    private val firstTokenMisses = MissWindow(settings.missFraction)
    private var engineCeiling = Double.MAX_VALUE
    private var ceilingAtMillis = 0L
    private var reportsWithQueue = 0

    override val sequences: Int
        get() = max(1, min(sequenceLimit, engineCeiling).toInt())

    override val contextTokens: Long
        get() = tokenLimit.toLong()

    override fun observe(sample: LimitSample, nowMillis: Long) {
        raiseEngineCeiling(nowMillis)
        observeBetweenTokens(sample)
        observeFirstToken(sample)
    }

    override fun onLoadReported(running: Int, waiting: Int, nowMillis: Long) {
        reportsWithQueue = if (waiting > 0) reportsWithQueue + 1 else 0
        if (reportsWithQueue < REPORTS_TO_ACT) return
        // A queue inside the engine ignores tiers. Whichever limit causes it (batch size or cache
        // memory), the engine's capacity is the number of requests it is running.
        engineCeiling = max(1.0, running.toDouble())
        ceilingAtMillis = nowMillis
    }

    private fun observeBetweenTokens(sample: LimitSample) {
        if (sample.betweenTokensMicros <= 0) return
        val verdict =
            betweenTokensMisses.add(sample.betweenTokensMicros > settings.betweenTokensTargetMicros)
        marginFraction = adjustedMargin(verdict)
        val target = settings.betweenTokensTargetMicros * marginFraction
        val factor = target / sample.betweenTokensMicros
        sequenceLimit =
            smoothed(
                sequenceLimit,
                sample.meanSequences * factor,
                factor,
                1.0,
                settings.maxSequences,
            )
        tokenLimit =
            smoothed(tokenLimit, sample.meanContextTokens * factor, factor, MIN_TOKENS, MAX_TOKENS)
    }

    private fun adjustedMargin(verdict: MissVerdict): Double =
        when (verdict) {
            MissVerdict.UNDECIDED -> marginFraction
            MissVerdict.ABOVE -> max(MIN_MARGIN, marginFraction - MARGIN_DOWN)
            MissVerdict.BELOW -> min(MAX_MARGIN, marginFraction + MARGIN_UP)
        }

    /** A sample below the target can only raise a limit; a sample above it can only lower it. */
    private fun smoothed(
        limit: Double,
        candidate: Double,
        factor: Double,
        floor: Double,
        ceiling: Double,
    ): Double {
        val isUseful = if (factor >= 1.0) candidate > limit else candidate < limit
        if (!isUseful) return limit
        return (limit + GAIN * (candidate - limit)).coerceIn(floor, ceiling)
    }

    private fun observeFirstToken(sample: LimitSample) {
        if (sample.firstTokenMillis <= 0) return
        // If the prefill alone exceeds the target, the sample is no evidence of overload.
        val allowed =
            max(
                settings.firstTokenTargetMillis.toDouble(),
                LONG_PREFILL_FACTOR * sample.expectedPrefillMillis,
            )
        if (firstTokenMisses.add(sample.firstTokenMillis > allowed) != MissVerdict.ABOVE) return
        sequenceLimit = max(1.0, sequenceLimit * FIRST_TOKEN_BACKOFF)
        tokenLimit = max(MIN_TOKENS, tokenLimit * FIRST_TOKEN_BACKOFF)
    }

    private fun raiseEngineCeiling(nowMillis: Long) {
        if (engineCeiling == Double.MAX_VALUE) return
        if (nowMillis - ceilingAtMillis < CEILING_HOLD_MILLIS) return
        ceilingAtMillis = nowMillis
        engineCeiling += 1.0
        if (engineCeiling > settings.maxSequences) engineCeiling = Double.MAX_VALUE
    }

    private companion object {
        /** Weight of one sample. A batch of 16 renews the estimate about once per generation. */
        const val GAIN = 0.1
        const val INITIAL_MARGIN = 0.9
        const val MIN_MARGIN = 0.6
        const val MAX_MARGIN = 0.97
        const val MARGIN_DOWN = 0.03
        const val MARGIN_UP = 0.01
        const val LONG_PREFILL_FACTOR = 2.0
        const val FIRST_TOKEN_BACKOFF = 0.9
        const val MIN_TOKENS = 2_048.0
        const val MAX_TOKENS = 1.0e8
        const val REPORTS_TO_ACT = 2
        const val CEILING_HOLD_MILLIS = 2_000L
    }
}
