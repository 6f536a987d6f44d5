package io.lavenderhinge.core.forwarding

/**
 * How long a backend server may send nothing for a request before its response counts as stalled.
 *
 * A sound server may be silent for a second or so and then go on, even in the middle of a stream.
 * Streams therefore allow for [MIN_STREAM_SILENCE_MILLIS] at least.
 */
data class SilenceLimits(
    /** From the send to the first event, or to the complete response if it is not a stream. */
    val firstEventMillis: Long,
    /** Between two events of a stream. */
    val betweenEventsMillis: Long,
) {
    companion object {
        /** Exceeds the pauses of sound servers and stays below [ForwardRoute.patienceMillis]. */
        const val MIN_STREAM_SILENCE_MILLIS = 1_800L
        private const val FIRST_EVENT_TARGET_FACTOR = 2L
        private const val FIRST_EVENT_ESTIMATE_FACTOR = 3.0
        private const val GAP_TARGET_FACTOR = 4L

        /** Returns the limits of an attempt on [route] with an expected latency. */
        fun of(route: ForwardRoute, expectedMillis: Double): SilenceLimits {
            val firstEventMillis =
                maxOf(
                    FIRST_EVENT_TARGET_FACTOR * route.targetLatencyMillis,
                    (FIRST_EVENT_ESTIMATE_FACTOR * expectedMillis).toLong(),
                )
            return when (val kind = route.kind) {
                is RouteKind.Idempotent,
                is RouteKind.NonIdempotent -> SilenceLimits(firstEventMillis, firstEventMillis)
                is RouteKind.Streaming -> {
                    val gapMillis = kind.targetGapMillis.coerceAtMost(route.timeoutMillis)
                    SilenceLimits(
                        maxOf(firstEventMillis, MIN_STREAM_SILENCE_MILLIS),
                        maxOf(GAP_TARGET_FACTOR * gapMillis, MIN_STREAM_SILENCE_MILLIS),
                    )
                }
            }
        }
    }
}
