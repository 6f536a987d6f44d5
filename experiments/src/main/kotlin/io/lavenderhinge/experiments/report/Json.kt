package io.lavenderhinge.experiments.report

/** Serializes maps, lists, numbers and nulls as JSON; other values as strings. */
internal fun toJson(value: Any?): String =
    when (value) {
        null -> "null"
        is Map<*, *> ->
            value.entries.joinToString(",", "{", "}") { (key, item) ->
                "${quote(key.toString())}:${toJson(item)}"
            }
        is List<*> -> value.joinToString(",", "[", "]", transform = ::toJson)
        is Double -> if (value.isFinite()) value.toString() else "null"
        is Number -> value.toString()
        else -> quote(value.toString())
    }

private fun quote(text: String): String =
    text.asIterable().joinToString("", "\"", "\"") { char ->
        when {
            char == '"' || char == '\\' -> "\\$char"
            char < ' ' -> "\\u%04x".format(char.code)
            else -> char.toString()
        }
    }
