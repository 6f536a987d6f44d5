package io.lavenderhinge.core.ledger

import java.util.Base64

/** Radix of the numbers in records and heads. */
internal const val RADIX = 36

/** Text encoding of one record: a line of tab-separated fields. */
internal object RecordCodec {
    private const val RECORD_FIELDS = 8
    private const val STATE_FIELD = 7
    private const val COMPLETED_FIELDS = 11

    fun encode(record: LedgerRecord): String = buildString {
        append('r').field(record.key).field(record.keyTimeMillis).field(record.retentionMillis)
        field(record.bodyHash).field(record.attemptId).field(record.entryId)
        when (val state = record.state) {
            RecordState.Intent -> field("i")
            RecordState.Voided -> field("v")
            is RecordState.Completed -> field("c").answer(state.answer)
        }
        append('\n')
    }

    fun decode(line: String): LedgerRecord {
        val fields = line.split('\t')
        checkInvariant(fields.size >= RECORD_FIELDS) { "malformed ledger record" }
        var next = 1
        return LedgerRecord(
            key = fields[next++],
            keyTimeMillis = fields[next++].toLong(RADIX),
            retentionMillis = fields[next++].toLong(RADIX),
            bodyHash = fields[next++],
            attemptId = fields[next++],
            entryId = fields[next],
            state = decodeState(fields),
        )
    }

    private fun decodeState(fields: List<String>): RecordState =
        when (fields[STATE_FIELD]) {
            "i" -> RecordState.Intent
            "v" -> RecordState.Voided
            "c" -> RecordState.Completed(decodeAnswer(fields))
            else -> throw LedgerInvariantViolation("unknown record state ${fields[STATE_FIELD]}")
        }

    private fun decodeAnswer(fields: List<String>): LedgerAnswer? {
        if (fields.size != COMPLETED_FIELDS) return null
        val (status, contentType, body) = fields.drop(RECORD_FIELDS)
        return LedgerAnswer(status.toInt(RADIX), contentType, Base64.getDecoder().decode(body))
    }

    private fun StringBuilder.answer(answer: LedgerAnswer?) {
        if (answer == null) return
        field(answer.status.toLong()).field(answer.contentType)
        field(Base64.getEncoder().withoutPadding().encodeToString(answer.body))
    }
}

internal fun StringBuilder.field(text: String): StringBuilder = append('\t').append(text)

internal fun StringBuilder.field(number: Long): StringBuilder =
    append('\t').append(number.toString(RADIX))
