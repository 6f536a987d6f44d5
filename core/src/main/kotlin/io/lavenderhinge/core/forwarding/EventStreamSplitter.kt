package io.lavenderhinge.core.forwarding

/** A complete server-sent event, including the terminating blank line. */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
    /** True if the event consists of comments, which servers send to keep a connection open. */
    val isComment: Boolean,
)

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks off inside
 * an event can be resumed on another server after the last complete one.
 *
 * A faulty server may send bytes without ever ending an event. The buffer therefore holds at most
 * [maxEventBytes], and each byte is examined once.
 */
class EventStreamSplitter(private val maxEventBytes: Int = DEFAULT_MAX_EVENT_BYTES) {
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)
    private var sizeBytes = 0
    private var lineStart = 0
    private var id: Long? = null
    private var isComment = true

    /** True when an incomplete event is buffered. */
    val hasPartialEvent: Boolean
        get() = sizeBytes > 0

    /** True when an event exceeded the limit; the stream cannot be split any further. */
    var isOverflowing = false
        private set

    /** Buffers [chunk] and returns the events that it completes. */
    fun accept(chunk: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        for (byte in chunk) {
            if (sizeBytes == maxEventBytes) {
                isOverflowing = true
                return events
            }
            if (sizeBytes == buffer.size) buffer = buffer.copyOf(buffer.size * 2)
            buffer[sizeBytes++] = byte
            if (byte == NEWLINE) endLine()?.let(events::add)
        }
        return events
    }

    private fun endLine(): StreamEvent? {
        val line = String(buffer, lineStart, sizeBytes - lineStart, Charsets.ISO_8859_1).trimEnd()
        lineStart = sizeBytes
        if (line.startsWith(ID_FIELD)) id = line.removePrefix(ID_FIELD).trim().toLongOrNull()
        if (line.isNotEmpty()) {
            if (!line.startsWith(COMMENT)) isComment = false
            return null
        }
        return StreamEvent(buffer.copyOf(sizeBytes), id, isComment).also { reset() }
    }

    private fun reset() {
        sizeBytes = 0
        lineStart = 0
        id = null
        isComment = true
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val ID_FIELD = "id:"
        const val COMMENT = ":"
        const val INITIAL_BUFFER_BYTES = 512
        /** Well above the size of an event with the tokens of one step of a model. */
        const val DEFAULT_MAX_EVENT_BYTES = 1_048_576
    }
}
