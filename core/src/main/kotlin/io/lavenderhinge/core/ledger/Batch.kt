package io.lavenderhinge.core.ledger

/**
 * A message that waits at a shard writer. [fresh]: the writer's records were compared with the
 * store after the message arrived. [doubted]: its owner was asked and could not tell.
 */
internal data class Waiting(
    val fromInstanceId: String,
    val message: LedgerMessage.Call,
    val fresh: Boolean = false,
    val doubted: Boolean = false,
)

/** A reply that is due once the batch is in the store. */
internal class DueReply(val waiting: Waiting, val outcome: LedgerOutcome)

/** Record changes that go into one commit, with the messages that caused them. */
internal class Batch {
    val records = LinkedHashMap<String, EncodedRecord>()
    val replies = ArrayList<DueReply>()

    val sizeBytes: Int
        get() = records.values.sumOf { it.line.length }

    fun add(record: LedgerRecord, waiting: Waiting, outcome: LedgerOutcome) {
        records[record.key] = EncodedRecord(record)
        replies += DueReply(waiting, outcome)
    }

    fun isEmpty(): Boolean = records.isEmpty() && replies.isEmpty()
}
