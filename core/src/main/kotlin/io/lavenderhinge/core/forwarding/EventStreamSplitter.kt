package io.lavenderhinge.core.forwarding

import java.io.ByteArrayOutputStream

/** A complete server-sent event, including the terminating blank line. */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks off inside
 * an event can be resumed on another server after the last complete one.
 */
class EventStreamSplitter {
    private val partial = ByteArrayOutputStream()
    private var lineStart = 0
    private var id: Long? = null

    /** True when an incomplete event is buffered. */
    val hasPartialEvent: Boolean
        get() = partial.size() > 0

    /** Buffers [chunk] and returns the events that it completes. */
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
