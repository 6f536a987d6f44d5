package io.lavenderhinge.core.limit

/** Concurrency limit of one backend server, adapted to measurements of its requests. */
interface AdaptiveLimit {
    /** Requests that may be in service at once; at least 1. */
    val sequences: Int

    /** Context tokens that may be in service at once. */
    val contextTokens: Long

    /** Updates the limit with the measurements of a finished request. */
    fun observe(sample: LimitSample, nowMillis: Long)

    /** Updates the limit with a load report; [waiting] requests are queued inside the server. */
    fun onLoadReported(running: Int, waiting: Int, nowMillis: Long)
}
