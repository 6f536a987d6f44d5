package io.lavenderhinge.ctl

import com.fasterxml.jackson.databind.JsonNode

/** Renders the JSON of an operator port as statements. */
internal object OperatorText {
    /** One line for each value, indented by depth. */
    fun lines(node: JsonNode, indent: String = ""): List<String> =
        when {
            node.isObject ->
                node.properties().flatMap { (name, value) -> field(name, value, indent) }
            node.isArray -> node.flatMap { lines(it, indent) }
            else -> listOf(indent + node.asText())
        }

    private fun field(name: String, value: JsonNode, indent: String): List<String> =
        if (value.isContainerNode) listOf("$indent$name:") + lines(value, "$indent  ")
        else listOf("$indent$name: ${value.asText()}")
}
