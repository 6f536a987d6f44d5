package io.lavenderhinge.ctl

import com.fasterxml.jackson.databind.JsonNode

/** Formats the JSON of an operator port as indented text. */
internal object JsonText {
    /** One line per value, indented by depth; a list of scalars takes one line. */
    fun lines(node: JsonNode, indent: String = ""): List<String> =
        when {
            node.isObject ->
                node.properties().flatMap { (name, value) -> field(name, value, indent) }
            node.isArray -> node.flatMap { element(it, indent) }
            else -> listOf(indent + node.asText())
        }

    private fun field(name: String, value: JsonNode, indent: String): List<String> =
        when {
            value.isContainerNode && value.isEmpty -> listOf("$indent$name: none")
            value.isArray && value.none { it.isContainerNode } ->
                listOf("$indent$name: ${value.joinToString(", ") { it.asText() }}")
            value.isContainerNode -> listOf("$indent$name:") + lines(value, "$indent  ")
            value.isNull -> listOf("$indent$name: none")
            else -> listOf("$indent$name: ${value.asText()}")
        }

    private fun element(value: JsonNode, indent: String): List<String> {
        val lines = lines(value, "$indent  ")
        val first = lines.firstOrNull() ?: return emptyList()
        return listOf("$indent- ${first.trimStart()}") + lines.drop(1)
    }
}
