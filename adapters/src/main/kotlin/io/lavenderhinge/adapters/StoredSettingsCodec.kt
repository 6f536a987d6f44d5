package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.core.settings.StoredSettings

/**
 * JSON form of [StoredSettings]: `{"revision", "author", "appliedAtMillis", "text"}`.
 *
 * Used for `config/<team>` and, as an array with the newest entry first, for `history/<team>`.
 */
object StoredSettingsCodec {
    private const val MAX_HISTORY_ENTRIES = 50

    // The service limits a value to 1 MB; the margin covers the escapes in the enclosing JSON.
    private const val MAX_HISTORY_BYTES = 800_000

    /** Serializes [settings] as a value of `config/<team>`. */
    fun encode(settings: StoredSettings): String = Json.mapper.writeValueAsString(settings)

    /** Parses a value of `config/<team>`; the left side is the reason why it is invalid. */
    fun decode(value: String): Either<String, StoredSettings> {
        val node = Json.parseOrNull(value.toByteArray()) ?: return "the value is not JSON".left()
        return decode(node)
    }

    /** Serializes [entries], newest first; drops the oldest beyond the count or size limit. */
    fun encodeHistory(entries: List<StoredSettings>): String {
        val rendered = mutableListOf<String>()
        var sizeBytes = 0
        entries.take(MAX_HISTORY_ENTRIES).map(::encode).forEach { entry ->
            sizeBytes += entry.toByteArray().size + 1
            if (rendered.isNotEmpty() && sizeBytes > MAX_HISTORY_BYTES) return jsonArray(rendered)
            rendered += entry
        }
        return jsonArray(rendered)
    }

    /** Parses a value of `history/<team>`; skips entries that cannot be parsed. */
    fun decodeHistory(value: String): List<StoredSettings> =
        Json.parseOrNull(value.toByteArray())?.mapNotNull { decode(it).getOrNull() }.orEmpty()

    private fun jsonArray(rendered: List<String>) = rendered.joinToString(",", "[", "]")

    private fun decode(node: JsonNode): Either<String, StoredSettings> {
        val revision = node.get("revision")?.takeIf { it.isIntegralNumber }?.longValue()
        val text = node.get("text")?.textValue()
        if (revision == null || revision < 1) return "the value has no positive revision".left()
        if (text == null) return "the value has no text".left()
        val author = node.get("author")?.textValue().orEmpty()
        val appliedAtMillis = node.get("appliedAtMillis")?.longValue() ?: 0
        return StoredSettings(revision, author, appliedAtMillis, text).right()
    }
}
