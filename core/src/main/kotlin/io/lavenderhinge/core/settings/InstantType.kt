package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.right
import java.time.OffsetDateTime
import java.time.format.DateTimeParseException

/** A point in time with its offset, parsed to epoch milliseconds. */
internal object InstantType : ValueType<Long>() {
    override val unit = "time (ISO 8601 with offset)"
    override val range = "any"

    override fun parse(text: String): Either<ValueProblem, Long> =
        try {
            OffsetDateTime.parse(text).toInstant().toEpochMilli().right()
        } catch (_: DateTimeParseException) {
            problem("is not a time with an offset", "write it as 2026-12-05T06:00:00Z")
        }
}
