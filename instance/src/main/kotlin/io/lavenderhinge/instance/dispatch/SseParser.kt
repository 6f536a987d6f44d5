package io.lavenderhinge.instance.dispatch

import java.io.ByteArrayOutputStream

/** A server-sent event. */
internal data class SseEvent(val id: String?, val data: String)

/** Incremental parser for server-sent events; events may span chunks. */
internal class SseParser {
    private val line = ByteArrayOutputStream()
    private var id: String? = null
    private val data = StringBuilder()

    /** Returns the events that [chunk] completes. */
    fun feed(chunk: ByteArray): List<SseEvent> = buildList {
        chunk.forEach { byte ->
            if (byte == NEWLINE) endLine()?.let(::add)
            else if (byte != CARRIAGE_RETURN) line.write(byte.toInt())
        }
    }

    private fun endLine(): SseEvent? {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isEmpty()) return endEvent()
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (text.substringBefore(':')) {
            "id" -> id = value
            "data" -> data.append(if (data.isEmpty()) value else "\n$value")
        }
        return null
    }

    private fun endEvent(): SseEvent? {
        val event = SseEvent(id, data.toString()).takeIf { data.isNotEmpty() }
        id = null
        data.clear()
        return event
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
