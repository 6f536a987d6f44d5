package io.lavenderhinge.core.ledger

/**
 * A non-idempotent request that must run at most once.
 *
 * [bodyHash] distinguishes requests with the same key and must be printable ASCII without spaces.
 * [retentionMillis] starts at the creation time of the key; [deadlineAtMillis] is in epoch
 * milliseconds.
 */
data class LedgerRequest(
    val key: IdempotencyKey,
    val bodyHash: String,
    val retentionMillis: Long,
    val deadlineAtMillis: Long,
) {
    init {
        require(isRecordField(key.recordName) && isRecordField(bodyHash)) {
            "key and body hash must be printable ASCII without spaces"
        }
    }
}

/** True if [text] is valid as a record field: non-empty printable ASCII without spaces. */
internal fun isRecordField(text: String): Boolean = text.isNotEmpty() && text.all { it in '!'..'~' }
