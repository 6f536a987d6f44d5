package io.lavenderhinge.http

/**
 * Limits of one HTTP listener. A connection that exceeds a limit gets an error response and is
 * closed, and an idle connection is closed without one. Other connections are unaffected.
 */
data class HttpLimits(
    val maxRequestLineBytes: Int = 4_096,
    val maxHeadBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headTimeoutMillis: Long = 10_000,
    val bodyTimeoutMillis: Long = 30_000,
    val idleTimeoutMillis: Long = 75_000,
    val maxConnections: Int = 4_096,
    val maxPipelinedRequests: Int = 16,
)
