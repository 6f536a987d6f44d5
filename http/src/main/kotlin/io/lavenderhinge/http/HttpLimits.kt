package io.lavenderhinge.http

/**
 * Limits of one HTTP listener. A connection that exceeds a limit gets an error response and is
 * closed; other connections are unaffected.
 */
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
