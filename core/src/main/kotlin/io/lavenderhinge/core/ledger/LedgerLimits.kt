package io.lavenderhinge.core.ledger

/**
 * Sizes and times of the ledger. None of the times carries safety; they bound waiting and load.
 *
 * [shardCount] must be the same on all instances and must not change while keys are retained: a key
 * would move to a shard that does not know it.
 */
data class LedgerLimits(
    val shardCount: Int = 16,
    /** Time per write of a shard: 16 shards stay under the platform's share of 160 writes/s. */
    val writeIntervalMillis: Long = 102,
    /** A head over this size is sealed into a segment before the next commit. */
    val sealThresholdBytes: Int = SEAL_KIBIBYTES * KIBIBYTE,
    /** Upper bound of any value that the ledger writes. */
    val maxValueBytes: Int = VALUE_KIBIBYTES * KIBIBYTE,
    /** Larger answers are recorded as run, without their body. */
    val maxAnswerBytes: Int = ANSWER_KIBIBYTES * KIBIBYTE,
    /** Records beyond this size push the horizon up before their retention ends. */
    val shardBudgetBytes: Long = SHARD_MEBIBYTES * KIBIBYTE * KIBIBYTE,
    /** The size budget never drops keys younger than this; new keys are refused instead. */
    val minRetentionMillis: Long = 60_000,
    /** Time between two searches for expired records. */
    val expiryIntervalMillis: Long = 5_000,
    /** A store call that takes longer counts as an outage towards waiting entries. */
    val stallTimeoutMillis: Long = 2_000,
    /** A store call without a result after this time is given up and its effect read back. */
    val storeCallTimeoutMillis: Long = 10_000,
    val probeIntervalMillis: Long = 500,
    val ownerQueryTimeoutMillis: Long = 200,
    val maxOwnerQueries: Int = 2,
    val maxParallelReads: Int = 16,
    /** An entry sends an unanswered reservation again after this time. */
    val resendIntervalMillis: Long = 300,
    val redirectDelayMillis: Long = 50,
    val pollIntervalMillis: Long = 200,
    /** Longest wait for a reservation, whatever the deadline of the request. */
    val reserveTimeoutMillis: Long = 5_000,
    val maxCompleteResendMillis: Long = 5_000,
    val completeTimeoutMillis: Long = 600_000,
    /** Attempts whose end an entry remembers, to answer the owner query. */
    val maxAbandonedAttempts: Int = 16_384,
    val maxCompletingAttempts: Int = 4_096,
) {
    /** Room for references to segments in a head; more push the horizon up as records do. */
    val maxReferenceBytes: Int
        get() = maxValueBytes / REFERENCE_DIVISOR

    /** Upper bound of a record with a full answer: its body in base 64, and the other fields. */
    val maxRecordBytes: Int
        get() = maxAnswerBytes + maxAnswerBytes / BASE64_GROUP + RECORD_OVERHEAD_BYTES

    init {
        val headBytes =
            maxReferenceBytes +
                maxReferenceBytes / REFERENCE_DIVISOR +
                sealThresholdBytes +
                maxRecordBytes
        require(headBytes <= maxValueBytes) {
            "a head can reach $headBytes bytes, over $maxValueBytes; " +
                "lower sealThresholdBytes or maxAnswerBytes"
        }
    }

    private companion object {
        const val KIBIBYTE = 1024
        const val VALUE_KIBIBYTES = 64
        const val SEAL_KIBIBYTES = 16
        const val ANSWER_KIBIBYTES = 16
        const val SHARD_MEBIBYTES = 16L
        const val REFERENCE_DIVISOR = 4

        /** Base 64 adds one character to every three bytes. */
        const val BASE64_GROUP = 3
        const val RECORD_OVERHEAD_BYTES = 1024
    }
}
