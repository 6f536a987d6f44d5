package io.lavenderhinge.experiments.ledger

import io.lavenderhinge.core.ledger.LedgerLimits

/** Parameters of one run of the ledger simulation. */
data class LedgerRunSettings(
    val seed: Long,
    val durationMillis: Long,
    val instanceCount: Int,
    val requestsPerSecond: Double,
    val limits: LedgerLimits,
    val hasFaults: Boolean = true,
    val retentionMillis: Long = 600_000,
    val answerBytes: Int = 200,
    /**
     * Share of requests that the caller sends again shortly afterwards, usually to another entry.
     */
    val duplicateFraction: Double = 0.05,
    /** Share of requests retried after a random delay of up to 1.5 times the retention. */
    val lateRetryFraction: Double = 0.05,
    val backendFaultFraction: Double = 0.02,
) {
    companion object {
        /** Uses small limits so that a short run seals, drops and reuses segments many times. */
        fun randomised(seed: Long, durationMillis: Long): LedgerRunSettings {
            val shardCount = if (seed % 2 == 0L) 2 else 6
            val limits =
                LedgerLimits(
                    shardCount = shardCount,
                    sealThresholdBytes = 3_000,
                    maxValueBytes = 16_000,
                    maxAnswerBytes = 600,
                    shardBudgetBytes = if (seed % 3 == 1L) 160_000L / shardCount else 400_000,
                    minRetentionMillis = 4_000,
                    expiryIntervalMillis = 1_000,
                )
            return LedgerRunSettings(
                seed,
                durationMillis,
                instanceCount = 3 + (seed % 6).toInt(),
                requestsPerSecond = 40.0,
                limits = limits,
                retentionMillis = 15_000,
                duplicateFraction = 0.2,
                lateRetryFraction = 0.3,
                backendFaultFraction = 0.1,
            )
        }
    }
}
