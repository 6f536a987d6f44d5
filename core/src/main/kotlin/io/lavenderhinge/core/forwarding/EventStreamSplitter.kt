package io.lavenderhinge.core.forwarding

import java.io.ByteArrayOutputStream

/** One whole event of a stream with the blank line that ends it. */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/**
 * Splits the bytes of an event stream into whole events, so that a stream that breaks in the middle
 * of an event can go on elsewhere after the last whole one.
 */
class EventStreamSplitter {
    private val partial = ByteArrayOutputStream()
    private var lineStart = 0
    private var id: Long? = null

    /** True when bytes of an event that has not ended are held. */
    val hasPartialEvent: Boolean
        get() = partial.size() > 0

    /** Adds [chunk] and returns the events that it completes. */
    fun accept(chunk: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        chunk.forEach { byte ->
            partial.write(byte.toInt())
            if (byte == NEWLINE) endLine()?.let(events::add)
        }
        return events
    }

    private fun endLine(): StreamEvent? {
        val bytes = partial.toByteArray()
        val line = String(bytes, lineStart, bytes.size - lineStart, Charsets.ISO_8859_1).trim()
        lineStart = bytes.size
        if (line.startsWith(ID_FIELD)) id = line.removePrefix(ID_FIELD).trim().toLongOrNull()
        if (line.isNotEmpty()) return null
        val event = StreamEvent(bytes, id)
        partial.reset()
        lineStart = 0
        id = null
        return event
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
