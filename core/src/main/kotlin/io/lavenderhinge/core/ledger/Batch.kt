package io.lavenderhinge.core.ledger

/**
 * A message that waits at a shard writer. [isRefreshed]: the writer's records were compared with
 * the store after the message arrived. [isOwnerUnknown]: its owner was asked and could not tell.
 */
internal data class PendingMessage(
    val fromInstanceId: String,
    val message: LedgerMessage.Call,
    val isRefreshed: Boolean = false,
    val isOwnerUnknown: Boolean = false,
)

/** A reply that is due once the batch is in the store. */
internal class PendingReply(val pending: PendingMessage, val outcome: LedgerOutcome)

/** Record changes that go into one commit, with the messages that caused them. */
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
