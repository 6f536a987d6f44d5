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
)
