package io.lavenderhinge.adapters

import io.lavenderhinge.core.limit.TokenBucket
import java.time.InstantSource

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
    private val bucket = TokenBucket(burst, clock.millis())

    /** Consumes a token and returns 0, or returns the milliseconds until one is available. */
    @Synchronized
    fun acquireOrWaitMillis(): Long {
        bucket.refill(callsPerSecond, burst, clock.millis())
        val waitMillis = bucket.waitMillis(callsPerSecond)
        if (waitMillis > 0) return waitMillis.toLong() + 1
        bucket.take()
        return 0
    }
}
