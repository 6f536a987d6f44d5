package io.lavenderhinge.adapters

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper

/**
 * JSON mapping of the wire formats; unknown fields are ignored so that either side may be newer.
 */
object Json {
    val mapper: ObjectMapper =
        jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)

    /** Parses [bytes]; null when they are not one JSON value. */
    fun parseOrNull(bytes: ByteArray): JsonNode? =
        runCatching { mapper.readTree(bytes) }.getOrNull()

    /** Renders [value] as UTF-8. */
    fun render(value: Any): ByteArray = mapper.writeValueAsBytes(value)
}
