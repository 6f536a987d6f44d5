package io.lavenderhinge.http

/** Bounds of one HTTP listener; a connection over a bound gets an error and the others go on. */
data class HttpLimits(
    val requestLineBytes: Int = 4_096,
    val headBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headMillis: Long = 10_000,
    val bodyMillis: Long = 30_000,
    val idleMillis: Long = 75_000,
    val connections: Int = 4_096,
    val pipelinedRequests: Int = 16,
)
