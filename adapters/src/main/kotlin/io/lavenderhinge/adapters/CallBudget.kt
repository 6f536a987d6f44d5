package io.lavenderhinge.adapters

import java.time.InstantSource
import kotlin.math.min

/**
 * A token bucket of calls to the platform: [callsPerSecond] on average, up to [burst] at once.
 *
 * The platform's rates are shared by the whole fleet, so each instance keeps to its own part.
 */
class CallBudget(
    private val callsPerSecond: Double,
    private val burst: Double,
    private val clock: InstantSource = InstantSource.system(),
) {
    private var tokens = burst
    private var lastRefillMillis = clock.millis()

    /** Takes one call from the budget; returns 0, or the milliseconds until one is left. */
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
