package io.lavenderhinge.core.ledger

/**
 * A non-idempotent request that is to run at most once.
 *
 * [bodyHash] tells two requests with the same key apart (printable ASCII without spaces).
 * [retentionMillis] counts from the key's creation; [deadlineAtMillis] is in epoch milliseconds.
 */
data class LedgerRequest(
    val key: IdempotencyKey,
    val bodyHash: String,
    val retentionMillis: Long,
    val deadlineAtMillis: Long,
) {
    init {
        require(isRecordField(key.recordName) && isRecordField(bodyHash)) {
            "key and body hash are printable ASCII without spaces"
        }
    }
}

/** True when [text] can stand in a record: printable ASCII without spaces, not empty. */
internal fun isRecordField(text: String): Boolean = text.isNotEmpty() && text.all { it in '!'..'~' }
