package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.PrefillModel

/** Estimates service times from the observed server speed and answer length. */
internal class ServiceTimeEstimator {
    private val prefill = PrefillModel()
    private val outputRatio = DoubleArray(Tier.entries.size) { UNKNOWN }
    private var betweenTokensMillis = INITIAL_BETWEEN_TOKENS_MILLIS
    private var serviceMillis = INITIAL_SERVICE_MILLIS
    private var prefillBusyUntilMillis = 0.0

    val meanServiceMillis: Double
        get() = serviceMillis

    /**
     * Expected length of the answer. The bound set by the caller is a poor predictor, so the
     * estimate is zero until the first answer of the tier: a request must not be refused because of
     * an unfounded estimate.
     */
    fun expectedOutputTokens(request: GrantRequest): Double {
        val ratio = outputRatio[request.tier.ordinal]
        return if (ratio == UNKNOWN) 0.0 else request.outputTokens * ratio
    }

    fun prefillMillis(tokens: Int): Double = prefill.expectedMillis(tokens)

    /** Expected time from dispatch to the end of the answer; zero for a plain service. */
    fun serviceMillis(request: GrantRequest, prefillTokens: Int): Double =
        if (request.promptTokens == 0) 0.0
        else prefillMillis(prefillTokens) + expectedOutputTokens(request) * betweenTokensMillis

    /** Estimated prefill time of granted requests that is still outstanding. */
    fun prefillBacklogMillis(nowMillis: Long): Double =
        (prefillBusyUntilMillis - nowMillis).coerceAtLeast(0.0)

    /** Time to prefill [tokens] sequentially. */
    fun prefillWorkMillis(tokens: Long): Double = tokens * prefill.millisPerToken()

    fun onGranted(prefillTokens: Int, nowMillis: Long) {
        prefillBusyUntilMillis =
            maxOf(prefillBusyUntilMillis, nowMillis.toDouble()) +
                prefillWorkMillis(prefillTokens.toLong())
    }

    fun onFinished(slot: GrantedSlot, result: SlotResult, nowMillis: Long) {
        if (result.resultClass != ResultClass.OK) return
        serviceMillis = smoothed(serviceMillis, (nowMillis - slot.grantedAtMillis).toDouble())
        if (slot.request.promptTokens == 0) return
        if (result.firstTokenMillis > 0) {
            prefill.observe(slot.prefillTokens, result.firstTokenMillis)
        }
        if (result.betweenTokensMicros > 0) {
            betweenTokensMillis =
                smoothed(betweenTokensMillis, result.betweenTokensMicros / MICROS_PER_MILLI)
        }
        if (slot.request.outputTokens > 0 && result.outputTokens > 0) {
            val tier = slot.request.tier.ordinal
            val ratio = result.outputTokens.toDouble() / slot.request.outputTokens
            outputRatio[tier] =
                if (outputRatio[tier] == UNKNOWN) ratio.coerceAtMost(1.0)
                else smoothed(outputRatio[tier], ratio.coerceAtMost(1.0))
        }
    }

    private fun smoothed(old: Double, new: Double) = old + GAIN * (new - old)

    private companion object {
        const val GAIN = 0.05
        const val UNKNOWN = -1.0
        const val MICROS_PER_MILLI = 1_000.0
        const val INITIAL_BETWEEN_TOKENS_MILLIS = 25.0
        const val INITIAL_SERVICE_MILLIS = 1_000.0
    }
}
