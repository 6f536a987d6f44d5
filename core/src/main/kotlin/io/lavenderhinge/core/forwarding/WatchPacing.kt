package io.lavenderhinge.core.forwarding

/** Times within which the state in the store has to reach every instance. */
data class PropagationBounds(
    /** From the write of a configuration until it is in force. */
    val configurationApplyMillis: Long,
    /** From the loss of a connection to the store until the state is followed again. */
    val contactTimeoutMillis: Long,
    /** From the announcement of a leaving backend server until it gets no more requests. */
    val drainMillis: Long,
    /** From the request to evacuate a failure domain until its servers get no more requests. */
    val evacuationMillis: Long = DEFAULT_EVACUATION_MILLIS,
) {
    /** Default values. */
    companion object {
        /** Bound of a deployment that sets none. */
        const val DEFAULT_EVACUATION_MILLIS = 5_000L
    }
}

/**
 * Paces the calls by which an instance watches the store.
 *
 * The store limits and charges the calls of the whole fleet. The pace is therefore the slowest one
 * that meets the deployment's bounds: a longer wait makes fewer calls while nothing changes, and a
 * longer pause returns more changes with one call.
 */
data class WatchPacing(
    /** How long one call waits for a change. */
    val waitMillis: Long,
    /** Time between the end of a call and the next one. */
    val pauseMillis: Long,
) {
    /** Age at which the state read by the last successful call may be out of date. */
    val staleAfterMillis: Long
        get() = waitMillis + pauseMillis + RESPONSE_MILLIS

    companion object {
        /** Longest delay of a response from the store, after which its connection is replaced. */
        const val RESPONSE_MILLIS = 800L
        /** Time to connect again and read the current state. */
        private const val RECONNECT_MILLIS = 200L
        private const val MIN_WAIT_MILLIS = 500L
        private const val MAX_WAIT_MILLIS = 10_000L
        private const val MIN_PAUSE_MILLIS = 60L
        private const val MAX_PAUSE_MILLIS = 500L
        /** Leaves most of a bound for failed calls and for sending the state to its users. */
        private const val PAUSE_DIVISOR = 8

        /** Returns the pace for [bounds]. */
        fun of(bounds: PropagationBounds): WatchPacing {
            // A request to evacuate arrives in time even if two calls in a row get no answer.
            val contactMillis =
                minOf(
                    bounds.contactTimeoutMillis,
                    bounds.evacuationMillis - RESPONSE_MILLIS - RECONNECT_MILLIS,
                )
            val waitMillis = contactMillis - RESPONSE_MILLIS - RECONNECT_MILLIS
            val changeMillis =
                minOf(bounds.configurationApplyMillis, bounds.drainMillis, bounds.evacuationMillis)
            return WatchPacing(
                waitMillis.coerceIn(MIN_WAIT_MILLIS, MAX_WAIT_MILLIS),
                (changeMillis / PAUSE_DIVISOR).coerceIn(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS),
            )
        }
    }
}
