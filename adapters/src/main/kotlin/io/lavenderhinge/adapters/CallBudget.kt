package io.lavenderhinge.adapters

import java.time.InstantSource
import kotlin.math.min

/**
 * Token bucket for calls to the platform: [callsPerSecond] on average, up to [burst] at once.
 *
 * The whole fleet shares the platform's rate limits, so each instance is limited to its share.
 */
class CallBudget(
    private val callsPerSecond: Double,
    private val burst: Double,
    private val clock: InstantSource = InstantSource.system(),
) {
    private var tokens = burst
    private var lastRefillMillis = clock.millis()

    /** Consumes a token and returns 0, or returns the milliseconds until one is available. */
    @Synchronized
    fun acquireOrWaitMillis(): Long {
        val nowMillis = clock.millis()
        val elapsedMillis = (nowMillis - lastRefillMillis).coerceAtLeast(0)
        tokens = min(burst, tokens + elapsedMillis * callsPerSecond / MILLIS_PER_SECOND)
        lastRefillMillis = nowMillis
        if (tokens >= 1) {
            tokens -= 1
            return 0
        }
        return ((1 - tokens) * MILLIS_PER_SECOND / callsPerSecond).toLong() + 1
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
