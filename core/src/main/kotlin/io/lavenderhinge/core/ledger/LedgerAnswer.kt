package io.lavenderhinge.core.ledger

/** A backend server's answer to a non-idempotent request, stored for repeats of its key. */
class LedgerAnswer(val status: Int, val contentType: String, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is LedgerAnswer &&
            status == other.status &&
            contentType == other.contentType &&
            body.contentEquals(other.body)

    override fun hashCode(): Int =
        (status * 31 + contentType.hashCode()) * 31 + body.contentHashCode()

    override fun toString(): String = "LedgerAnswer($status, $contentType, ${body.size} bytes)"

    /**
     * The form in which the ledger stores this answer, with a shortened and sanitised content type.
     * Null if the body is larger than [maxBytes].
     */
    internal fun toStorable(maxBytes: Int): LedgerAnswer? {
        if (body.size > maxBytes) return null
        val plainType = contentType.take(MAX_TYPE_CHARS).replace(nonPrintable, "?")
        return if (plainType == contentType) this else LedgerAnswer(status, plainType, body)
    }

    private companion object {
        const val MAX_TYPE_CHARS = 256
        val nonPrintable = Regex("[^ -~]")
    }
}
