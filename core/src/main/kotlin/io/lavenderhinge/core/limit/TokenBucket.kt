package io.lavenderhinge.core.limit

/** A token bucket whose rate and capacity may change. The level may fall below zero. */
internal class TokenBucket(private var level: Double = 0.0, private var refilledMillis: Long) {
    /** Adds the tokens since the last call, up to [capacity]. */
    fun refill(perSecond: Double, capacity: Double, nowMillis: Long) {
        val added = perSecond * (nowMillis - refilledMillis) / MILLIS_PER_SECOND
        level = (level + added).coerceAtMost(capacity)
        refilledMillis = nowMillis
    }

    /** Takes [count] tokens, which need not be there. */
    fun take(count: Long = 1) {
        level -= count
    }

    /** Returns the time until there is a whole token. */
    fun waitMillis(perSecond: Double): Double =
        if (level >= 1) 0.0 else (1 - level) / perSecond * MILLIS_PER_SECOND

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
