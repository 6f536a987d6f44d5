package io.lavenderhinge.core.limit

/** A token bucket whose rate and capacity may change. Not thread-safe. */
class TokenBucket(level: Double = 0.0, private var refilledMillis: Long) {
    /** Number of tokens; below zero if more were taken than there were. */
    var level = level
        private set

    /** Adds the tokens since the last call, up to [capacity], and forgets debt below [floor]. */
    fun refill(
        perSecond: Double,
        capacity: Double,
        nowMillis: Long,
        floor: Double = Double.NEGATIVE_INFINITY,
    ) {
        // A wall clock may have been set back.
        val elapsedMillis = (nowMillis - refilledMillis).coerceAtLeast(0)
        level = (level + perSecond * elapsedMillis / MILLIS_PER_SECOND).coerceIn(floor, capacity)
        refilledMillis = nowMillis
    }

    /** Takes [tokens], which need not be there. */
    fun take(tokens: Double = 1.0) {
        level -= tokens
    }

    /** Returns the time until there is a whole token. */
    fun waitMillis(perSecond: Double): Double =
        if (level >= 1) 0.0 else (1 - level) * MILLIS_PER_SECOND / perSecond

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
