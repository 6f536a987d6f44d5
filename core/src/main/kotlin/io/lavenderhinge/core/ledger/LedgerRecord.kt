package io.lavenderhinge.core.ledger

/** What is known of one key. The latest record of a key counts. */
internal data class LedgerRecord(
    val key: String,
    val keyTimeMillis: Long,
    val retentionMillis: Long,
    val bodyHash: String,
    val attemptId: String,
    val entryId: String,
    val state: RecordState,
) {
    val expiresAtMillis: Long
        get() = keyTimeMillis + retentionMillis
}

internal sealed interface RecordState {
    /** Recorded before the dispatch; the attempt may have been dispatched. */
    data object Intent : RecordState

    /** The attempt ran; [answer] is null when it was too large to keep. */
    data class Completed(val answer: LedgerAnswer?) : RecordState

    /** The attempt was never dispatched; the key is free. */
    data object Voided : RecordState
}
