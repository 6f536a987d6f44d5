package io.lavenderhinge.core.health

import kotlin.math.min

/** Fraction of its usual traffic that a recovering server gets. It rises linearly to 1. */
internal object SlowStart {
    /** Long enough to refill a cold cache and connection pool. */
    const val RAMP_MILLIS = 30_000L
    private const val INITIAL_FRACTION = 0.1

    fun fraction(sinceMillis: Long, nowMillis: Long): Double =
        min(
            1.0,
            INITIAL_FRACTION + (1 - INITIAL_FRACTION) * (nowMillis - sinceMillis) / RAMP_MILLIS,
        )

    fun isFinished(sinceMillis: Long, nowMillis: Long): Boolean =
        nowMillis - sinceMillis >= RAMP_MILLIS
}
