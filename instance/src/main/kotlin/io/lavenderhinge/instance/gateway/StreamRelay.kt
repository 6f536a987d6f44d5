package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.EventStreamSplitter
import io.lavenderhinge.core.forwarding.StreamEvent
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpBodyWriter
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.LossReason
import java.io.ByteArrayOutputStream

/** Observes what a [StreamRelay] does. */
internal interface RelayListener {
    /** Called when [count] events have arrived; 0 at the end of the stream. */
    fun onEvents(count: Int)

    /** Called before data is sent to the client, which may be slower than the server. */
    fun onDelivering()

    /** Called when the client can take more data. */
    fun onDelivered()
}

/**
 * Relays the events of a stream to the client. A broken stream can be resumed with another
 * response, because only complete events are relayed and events that the client already has are
 * skipped.
 */
internal class StreamRelay(
    private val exchange: HttpExchange,
    resumedAfter: Long?,
    private val nowMillis: () -> Long,
) {
    private var writer: HttpBodyWriter? = null

    /** Id of the last event sent to the client. */
    var lastEventId: Long? = resumedAfter
        private set

    /** Number of events that were sent to the client, without comments. */
    var eventCount = 0
        private set

    /** True once the response head has been sent. */
    val isStarted: Boolean
        get() = writer != null

    /** Time of the last event that was sent to the client; null before the first one. */
    var lastEventMillis: Long? = null
        private set

    /**
     * Relays [response] to its end; throws if the response is incomplete. Only events count as
     * progress: a stalled server may send comments or parts of an event for as long as the
     * connection is open.
     */
    suspend fun relay(response: ClientResponse, listener: RelayListener) {
        val splitter = EventStreamSplitter()
        while (true) {
            val chunk = response.readChunk() ?: break
            val events = newEvents(splitter, chunk)
            if (splitter.isOverflowing) {
                throw HttpCallException.OutcomeUnknown("the server sent an event without an end")
            }
            if (events.isEmpty()) continue
            val count = events.count { !it.isComment }
            if (count > 0) {
                lastEventMillis = nowMillis()
                eventCount += count
                listener.onEvents(count)
            }
            send(response, events, listener)
        }
        if (splitter.hasPartialEvent) {
            throw HttpCallException.OutcomeUnknown(
                "the server ended its stream within an event",
                LossReason.CONNECTION_CLOSED,
            )
        }
        listener.onEvents(0)
        listener.onDelivering()
        startOrGetWriter(response).end()
    }

    private suspend fun send(
        response: ClientResponse,
        events: List<StreamEvent>,
        listener: RelayListener,
    ) {
        listener.onDelivering()
        startOrGetWriter(response).write(concatenate(events))
        listener.onDelivered()
    }

    private fun newEvents(splitter: EventStreamSplitter, chunk: ByteArray): List<StreamEvent> =
        splitter.accept(chunk).filter { event ->
            val id = event.id
            val last = lastEventId
            val isNew = id == null || last == null || id > last
            if (isNew) lastEventId = id ?: last
            isNew
        }

    private fun concatenate(events: List<StreamEvent>): ByteArray {
        val bytes = ByteArrayOutputStream()
        events.forEach { bytes.write(it.bytes) }
        return bytes.toByteArray()
    }

    private suspend fun startOrGetWriter(response: ClientResponse): HttpBodyWriter {
        writer?.let {
            return it
        }
        val (types, fields) =
            responseFields(response.headers).partition { it.name.equals("content-type", true) }
        val type = types.firstOrNull()?.value ?: "text/event-stream"
        return exchange.startStream(response.status, type, fields).also { writer = it }
    }
}
