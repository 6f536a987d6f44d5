package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.EventStreamSplitter
import io.lavenderhinge.core.forwarding.StreamEvent
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpBodyWriter
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.LossReason
import java.io.ByteArrayOutputStream

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

    /** True once the response head has been sent. */
    val isStarted: Boolean
        get() = writer != null

    /**
     * Relays [response] to its end; throws if the response is incomplete, or if no event arrives
     * within the [timeouts]. Only events count as progress: a stalled server may send comments or
     * parts of an event for as long as the connection is open.
     */
    suspend fun relay(
        response: ClientResponse,
        onEvents: (count: Int) -> Unit,
        timeouts: ProgressTimeouts,
    ) {
        val splitter = EventStreamSplitter()
        var progressDeadlineMillis = nowMillis() + timeouts.firstEventMillis
        while (true) {
            response.progressMillis = progressDeadlineMillis - nowMillis()
            val chunk = response.readChunk() ?: break
            val events = newEvents(splitter, chunk)
            if (splitter.isOverflowing) {
                throw HttpCallException.OutcomeUnknown("the server sent an event without an end")
            }
            if (events.isEmpty()) continue
            val count = events.count { !it.isComment }
            if (count > 0) {
                onEvents(count)
                progressDeadlineMillis = nowMillis() + timeouts.betweenEventsMillis
            }
            startOrGetWriter(response).write(concatenate(events))
        }
        if (splitter.hasPartialEvent) {
            throw HttpCallException.OutcomeUnknown(
                "the server ended its stream within an event",
                LossReason.CONNECTION_CLOSED,
            )
        }
        onEvents(0)
        startOrGetWriter(response).end()
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
