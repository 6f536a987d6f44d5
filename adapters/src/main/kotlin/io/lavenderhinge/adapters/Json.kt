package io.lavenderhinge.adapters

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper

/**
 * JSON mappers of the wire formats. Unknown fields are ignored, so that either side may be newer.
 */
object Json {
    /**
     * Reads and writes [JsonNode] trees; initializes faster than [mapper], which inspects classes.
     */
    val treeMapper: ObjectMapper = ObjectMapper()

    /** Maps JSON to and from classes. */
    val mapper: ObjectMapper by lazy {
        jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
    }

    /** Parses [bytes]; null if they are not valid JSON. */
    fun parseOrNull(bytes: ByteArray): JsonNode? =
        runCatching { treeMapper.readTree(bytes) }.getOrNull()

    /** Serializes [fields] as UTF-8; values are strings, numbers, lists or maps of these. */
    fun renderTree(fields: Map<String, Any>): ByteArray = treeMapper.writeValueAsBytes(fields)

    /** Serializes [value] as UTF-8. */
    fun render(value: Any): ByteArray = mapper.writeValueAsBytes(value)
}
