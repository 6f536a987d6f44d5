package io.lavenderhinge.adapters

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper

/**
 * JSON mapping of the wire formats; unknown fields are ignored so that either side may be newer.
 */
object Json {
    /** Reads and writes plain trees; it starts faster than [mapper], which inspects classes. */
    val treeMapper: ObjectMapper = ObjectMapper()

    /** Maps JSON to and from classes. */
    val mapper: ObjectMapper by lazy {
        jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
    }

    /** Parses [bytes]; null when they are not one JSON value. */
    fun parseOrNull(bytes: ByteArray): JsonNode? =
        runCatching { treeMapper.readTree(bytes) }.getOrNull()

    /** Renders [fields], whose values are texts, numbers, lists or maps of these, as UTF-8. */
    fun renderTree(fields: Map<String, Any>): ByteArray = treeMapper.writeValueAsBytes(fields)

    /** Renders [value] as UTF-8. */
    fun render(value: Any): ByteArray = mapper.writeValueAsBytes(value)
}
