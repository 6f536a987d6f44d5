package io.lavenderhinge.core.forwarding

/**
 * How long a backend server may send nothing for a request.
 *
 * A sound server may be silent for a second or so and then go on, even in the middle of a stream.
 * Streams therefore stall after [MIN_STREAM_STALL_MILLIS] at the earliest. Another server may be
 * sought earlier while nothing has arrived yet, since nothing of the response is lost then.
 */
data class SilenceLimits(
    /** Time before the first event after which another server is sought. */
    val searchMillis: Long,
    /** Time before the first event after which the response has stalled. */
    val firstEventMillis: Long,
    /** Time between two events after which the response has stalled. */
    val betweenEventsMillis: Long,
) {
    companion object {
        /** Exceeds the pauses of sound servers and stays below [ForwardRoute.patienceMillis]. */
        const val MIN_STREAM_STALL_MILLIS = 1_800L
        private const val FIRST_EVENT_TARGET_FACTOR = 2L
        private const val FIRST_EVENT_ESTIMATE_FACTOR = 3.0
        private const val GAP_TARGET_FACTOR = 4L

        /**
         * Returns the limits of an attempt on [route] with an expected latency. While versions are
         * compared ([isRollout]), a stream moves only when it has stalled, so that each move counts
         * against its version and no pause of a sound server does.
         */
        fun of(
            route: ForwardRoute,
            expectedMillis: Double,
            isRollout: Boolean = false,
        ): SilenceLimits {
            val searchMillis =
                maxOf(
                    FIRST_EVENT_TARGET_FACTOR * route.targetLatencyMillis,
                    (FIRST_EVENT_ESTIMATE_FACTOR * expectedMillis).toLong(),
                )
            return when (val kind = route.kind) {
                is RouteKind.Idempotent,
                is RouteKind.NonIdempotent ->
                    SilenceLimits(searchMillis, searchMillis, searchMillis)
                is RouteKind.Streaming -> {
                    val gapMillis = kind.targetGapMillis.coerceAtMost(route.timeoutMillis)
                    val stallMillis = maxOf(searchMillis, MIN_STREAM_STALL_MILLIS)
                    SilenceLimits(
                        if (isRollout) stallMillis else searchMillis,
                        stallMillis,
                        maxOf(GAP_TARGET_FACTOR * gapMillis, MIN_STREAM_STALL_MILLIS),
                    )
                }
            }
        }
    }
}
