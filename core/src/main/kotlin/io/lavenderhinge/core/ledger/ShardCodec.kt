package io.lavenderhinge.core.ledger

/** A record with its encoded line, cached so that a commit encodes only changed records. */
internal class EncodedRecord(val record: LedgerRecord) {
    val line: String = RecordCodec.encode(record)
}

/** A decoded head value: the head and its open records. */
internal class DecodedHead(val head: ShardHead, val open: List<LedgerRecord>)

/** A decoded segment value. */
internal class DecodedSegment(val id: String, val records: List<LedgerRecord>)

/**
 * Text encoding of heads and segments: a header line, then one line per segment reference or
 * record. Fields are separated by tabs and numbers are in base 36. All characters are ASCII, so the
 * length of a string is its size in bytes.
 */
internal object ShardCodec {
    private const val HEAD = "ledger-head-1"
    private const val SEGMENT = "ledger-segment-1"
    private const val REFERENCE_FIELDS = 5

    fun encodeHead(head: ShardHead, lines: Collection<String>): String = buildString {
        append(HEAD).field(head.commitId.writerId).field(head.commitId.number)
        field(head.shardCount.toLong()).field(head.shard.toLong()).field(head.horizonMillis)
        append('\n')
        for (segment in head.segments) {
            append('s').field(segment.id).field(segment.slot.toLong())
            field(segment.maxKeyTimeMillis).field(segment.sizeBytes.toLong()).append('\n')
        }
        for (line in lines) append(line)
    }

    fun decodeHead(text: String): DecodedHead {
        val lines = text.split('\n')
        val fields = lines.first().split('\t')
        checkInvariant(fields.first() == HEAD) { "not a ledger head: ${fields.first()}" }
        val segments = lines.filter { it.startsWith("s\t") }.map(::decodeReference)
        var next = 1
        val head =
            ShardHead(
                CommitId(fields[next++], fields[next++].toLong(RADIX)),
                fields[next++].toInt(RADIX),
                fields[next++].toInt(RADIX),
                fields[next].toLong(RADIX),
                segments,
            )
        return DecodedHead(head, decodeRecords(lines))
    }

    fun encodeSegment(id: String, lines: Collection<String>): String = buildString {
        append(SEGMENT).field(id).append('\n')
        for (line in lines) append(line)
    }

    /** Returns null if [text] is not a segment. */
    fun decodeSegment(text: String): DecodedSegment? {
        val lines = text.split('\n')
        val fields = lines.first().split('\t')
        if (fields.first() != SEGMENT) return null
        return DecodedSegment(fields[1], decodeRecords(lines))
    }

    private fun decodeReference(line: String): SegmentReference {
        val fields = line.split('\t')
        checkInvariant(fields.size == REFERENCE_FIELDS) { "malformed segment reference" }
        val (slot, time, size) = fields.drop(2)
        return SegmentReference(fields[1], slot.toInt(RADIX), time.toLong(RADIX), size.toInt(RADIX))
    }

    private fun decodeRecords(lines: List<String>): List<LedgerRecord> =
        lines.filter { it.startsWith("r\t") }.map(RecordCodec::decode)
}
