package io.lavenderhinge.core.ledger

/**
 * Sizes and times of the ledger. At-most-once execution does not depend on any of the times; they
 * bound waiting and load.
 *
 * [shardCount] must be the same on all instances and must not change while keys are retained:
 * otherwise a key would map to a shard that has no record of it.
 */
data class LedgerLimits(
    val shardCount: Int = 16,
    /**
     * Minimum interval between writes of a shard. It keeps 16 shards below 160 writes/s, the
     * ledger's share of the platform's write rate.
     */
    val writeIntervalMillis: Long = 102,
    /** Records of a head over this size are moved to a segment before the next commit. */
    val sealThresholdBytes: Int = SEAL_KIBIBYTES * KIBIBYTE,
    /** Maximum size of any value that the ledger writes. */
    val maxValueBytes: Int = VALUE_KIBIBYTES * KIBIBYTE,
    /** For larger answers the ledger records only that the request ran. */
    val maxAnswerBytes: Int = ANSWER_KIBIBYTES * KIBIBYTE,
    /** Over this size the horizon is raised past the oldest records before their retention ends. */
    val shardBudgetBytes: Long = SHARD_MEBIBYTES * KIBIBYTE * KIBIBYTE,
    /** The size budget never drops keys younger than this; new keys are rejected instead. */
    val minRetentionMillis: Long = 60_000,
    /** Interval between searches for expired records. */
    val expiryIntervalMillis: Long = 5_000,
    /** After this time without a result, the writer replies to entries as during an outage. */
    val stallTimeoutMillis: Long = 2_000,
    /**
     * After this time without a result, the store call is abandoned and its effect is read back.
     */
    val storeCallTimeoutMillis: Long = 10_000,
    val probeIntervalMillis: Long = 500,
    val ownerQueryTimeoutMillis: Long = 200,
    val maxOwnerQueries: Int = 2,
    val maxParallelReads: Int = 16,
    /** An entry resends an unanswered reservation after this time. */
    val resendIntervalMillis: Long = 300,
    val redirectDelayMillis: Long = 50,
    val pollIntervalMillis: Long = 200,
    /** Maximum wait for a reservation, even if the deadline of the request is later. */
    val reserveTimeoutMillis: Long = 5_000,
    val maxCompleteResendMillis: Long = 5_000,
    val completeTimeoutMillis: Long = 600_000,
    /** Number of abandoned attempts that an entry keeps in order to answer owner queries. */
    val maxAbandonedAttempts: Int = 16_384,
    val maxCompletingAttempts: Int = 4_096,
) {
    /**
     * Space for segment references in a head. Over it the horizon is raised, as it is over the
     * shard budget.
     */
    val maxReferenceBytes: Int
        get() = maxValueBytes / REFERENCE_DIVISOR

    /** Upper bound of a record with the largest answer: the Base64 body and the other fields. */
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

        /** Base64 adds one character to every three bytes. */
        const val BASE64_GROUP = 3
        const val RECORD_OVERHEAD_BYTES = 1024
    }
}
