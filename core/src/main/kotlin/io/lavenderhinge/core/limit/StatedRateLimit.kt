package io.lavenderhinge.core.limit

/** What a response says of the request limit of its server. */
data class LimitStatement(
    /** Requests per second that the server takes; null if it states no limit. */
    val perSecond: Double?
)

/** Keeps the requests to one server within the limit that its responses state. */
internal class StatedRateLimit {
    private var perSecond: Double? = null
    private var bucket = TokenBucket(refilledMillis = 0)

    /** Applies the latest [statement] of the server. */
    fun onStated(statement: LimitStatement, nowMillis: Long) {
        if (perSecond == null) bucket = TokenBucket(refilledMillis = nowMillis)
        perSecond = statement.perSecond?.coerceAtLeast(MIN_LIMIT_PER_SECOND)
    }

    /** Records a request to the server. */
    fun onSent() {
        if (perSecond != null) bucket.take()
    }

    /** Returns how long the request behind [ahead] others has to wait. */
    fun waitMillis(ahead: Int, nowMillis: Long): Double {
        val rate = perSecond ?: return 0.0
        bucket.refill(rate, burst(rate), nowMillis)
        return bucket.waitMillis(rate) + ahead * MILLIS_PER_SECOND / rate
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** A server that states no rate at all is tried now and then, since only its responses lift it. */
internal const val MIN_LIMIT_PER_SECOND = 0.1

/** Tokens that a server with a limit of [perSecond] may save up. */
internal fun burst(perSecond: Double): Double = 1 + perSecond * BURST_SECONDS

private const val BURST_SECONDS = 0.5
