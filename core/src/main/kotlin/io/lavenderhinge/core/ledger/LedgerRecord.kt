package io.lavenderhinge.core.ledger

/** The state of one key. A later record of a key replaces earlier ones. */
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
    /** Written before the dispatch; the attempt may or may not have been dispatched. */
    data object Intent : RecordState

    /** The attempt ran; [answer] is null if it was too large to store. */
    data class Completed(val answer: LedgerAnswer?) : RecordState

    /** The attempt was never dispatched; the key can be reserved again. */
    data object Voided : RecordState
}
