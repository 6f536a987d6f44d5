package io.lavenderhinge.core.limit

/** Latency targets and bounds of [EngineLimit]. */
data class EngineLimitSettings(
    val firstTokenTargetMillis: Long = 1_000,
    val betweenTokensTargetMicros: Long = 46_000,
    /** Fraction of requests that may miss a target. */
    val missFraction: Double = 0.05,
    val initialSequences: Double = 16.0,
    val maxSequences: Double = 512.0,
    val initialContextTokens: Double = 64_000.0,
)
