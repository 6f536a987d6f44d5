package io.lavenderhinge.core.ledger

/**
 * A message that a shard writer has not yet answered.
 *
 * [isRefreshed] is true once the writer has compared its records with the store after the message
 * arrived. [isOwnerUnknown] is true once the owner of the key's intent was queried and did not know
 * the attempt or did not reply.
 */
internal data class PendingMessage(
    val fromInstanceId: String,
    val message: LedgerMessage.Call,
    val isRefreshed: Boolean = false,
    val isOwnerUnknown: Boolean = false,
)

/** A reply to send once the batch is in the store. */
internal class PendingReply(val pending: PendingMessage, val outcome: LedgerOutcome)

/** Record changes to be written in one commit, and the replies to the messages that caused them. */
internal class Batch {
    val records = LinkedHashMap<String, EncodedRecord>()
    val replies = ArrayList<PendingReply>()

    val sizeBytes: Int
        get() = records.values.sumOf { it.line.length }

    fun add(record: LedgerRecord, pending: PendingMessage, outcome: LedgerOutcome) {
        records[record.key] = EncodedRecord(record)
        replies += PendingReply(pending, outcome)
    }

    fun isEmpty(): Boolean = records.isEmpty() && replies.isEmpty()
}
