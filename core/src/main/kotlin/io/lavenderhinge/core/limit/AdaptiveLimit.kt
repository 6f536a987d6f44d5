package io.lavenderhinge.core.limit

/** Concurrency limit of one backend server, adapted to what requests observe. */
interface AdaptiveLimit {
    /** Requests that may be in service at once; at least 1. */
    val sequences: Int

    /** Tokens of context that may be in service at once. */
    val contextTokens: Long

    /** Takes the observations of one finished request. */
    fun observe(sample: LimitSample, nowMillis: Long)

    /** Takes a load report: [waiting] requests are queued inside the backend server. */
    fun onLoadReported(running: Int, waiting: Int, nowMillis: Long)
}
