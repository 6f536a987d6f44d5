package io.lavenderhinge.instance.dispatch

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpStatus
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import org.slf4j.LoggerFactory

/** Receives the data of each event of a stream, in order and without repeats. */
internal fun interface EventSink {
    suspend fun accept(data: String)
}

/** How a stream ended. */
internal sealed interface StreamEnd {
    /** The engine sent the whole answer. */
    data object Complete : StreamEnd

    /** Nothing was sent: another backend server may be tried. */
    data class NotSent(val message: String) : StreamEnd

    /** The engine refused before running the request. */
    data class Refused(val status: Int, val draining: Boolean) : StreamEnd

    /** The engine failed the request. */
    data class Failed(val status: Int) : StreamEnd

    /** The answer was cut short and could not be resumed. */
    data class Lost(val message: String) : StreamEnd
}

/** Timing of a stream as the entry saw it. */
internal class StreamTiming(private val startedNanos: Long = System.nanoTime()) {
    private var firstNanos = 0L
    private var lastNanos = 0L
    var events = 0
        private set

    /** Notes an event. */
    fun event() {
        lastNanos = System.nanoTime()
        if (events == 0) firstNanos = lastNanos
        events++
    }

    /** Time to the first event; 0 before there was one. */
    val firstTokenMillis: Long
        get() = if (events == 0) 0 else (firstNanos - startedNanos) / NANOS_PER_MILLI

    /** Mean time between events; 0 before the second. */
    val betweenTokensMicros: Long
        get() = if (events < 2) 0 else (lastNanos - firstNanos) / (events - 1) / NANOS_PER_MICRO

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}

/**
 * Runs one generation on one engine and survives connections that break or go silent.
 *
 * The generation is sent once. When its stream is cut, it is resumed from the next event on a fresh
 * connection; it is never sent again, since it may have run.
 */
internal class EngineStream(
    private val client: HttpClient,
    private val timeouts: CallTimeouts = CallTimeouts(progressMillis = 10_000),
) {
    suspend fun run(
        address: InetSocketAddress,
        attemptId: String,
        version: String,
        body: ByteArray,
        timing: StreamTiming,
        sink: EventSink,
    ): StreamEnd {
        val headers = DefaultHttpHeaders()
        headers.set("Content-Type", "application/json")
        headers.set("X-Request-Id", attemptId)
        headers.set("X-Model-Version", version)
        val request = HttpRequest("POST", "/v1/chat/completions", "", headers, body)
        val progress = Progress(timing, sink)
        val opened =
            try {
                client.send(address, request, timeouts)
            } catch (e: HttpCallException.NotSent) {
                return StreamEnd.NotSent(e.message.orEmpty())
            } catch (e: HttpCallException.OutcomeUnknown) {
                return resume(address, attemptId, progress, e.message.orEmpty())
            }
        if (opened.status != HttpStatus.OK) return refusal(opened)
        return when (val lost = progress.drain(opened)) {
            null -> StreamEnd.Complete
            else -> resume(address, attemptId, progress, lost)
        }
    }

    private suspend fun resume(
        address: InetSocketAddress,
        attemptId: String,
        progress: Progress,
        cause: String,
    ): StreamEnd {
        var reason = cause
        repeat(RESUME_ATTEMPTS) {
            log.info("dispatch: resuming {} from event {}: {}", attemptId, progress.next, reason)
            reason = resumeOnce(address, attemptId, progress) ?: return StreamEnd.Complete
        }
        return StreamEnd.Lost(reason)
    }

    /** Returns null at the stream's proper end, else why it ended. */
    private suspend fun resumeOnce(
        address: InetSocketAddress,
        attemptId: String,
        progress: Progress,
    ): String? {
        val path = "/v1/streams/$attemptId"
        val request =
            HttpRequest("GET", path, "from=${progress.next}", DefaultHttpHeaders(), ByteArray(0))
        val response =
            try {
                client.send(address, request, timeouts, reuseConnection = false)
            } catch (e: HttpCallException) {
                return e.message.orEmpty()
            }
        if (response.status == HttpStatus.OK) return progress.drain(response)
        response.abort()
        return "the engine does not resume the stream (status ${response.status})"
    }

    private suspend fun refusal(response: ClientResponse): StreamEnd {
        val body =
            try {
                Json.parseOrNull(response.readAll())
            } catch (_: HttpCallException) {
                null
            }
        val draining = body?.path("draining")?.asBoolean(false) ?: false
        val refused = draining || response.status in REFUSALS
        return if (refused) StreamEnd.Refused(response.status, draining)
        else StreamEnd.Failed(response.status)
    }

    private class Progress(private val timing: StreamTiming, private val sink: EventSink) {
        /** Index of the next event to deliver. */
        var next = 0
            private set

        /** Delivers events to the proper end; returns null there, else why the stream was cut. */
        suspend fun drain(response: ClientResponse): String? =
            try {
                if (deliverAll(response)) null else "the stream ended without its end mark"
            } catch (e: HttpCallException) {
                e.message.orEmpty()
            } finally {
                response.abort()
            }

        /** True when the end mark was seen. */
        private suspend fun deliverAll(response: ClientResponse): Boolean {
            val parser = SseParser()
            while (true) {
                val events = parser.feed(response.readChunk() ?: return false)
                events.takeWhile { it.data != END_MARK }.forEach { deliver(it) }
                if (events.any { it.data == END_MARK }) {
                    response.readAll()
                    return true
                }
            }
        }

        private suspend fun deliver(event: SseEvent) {
            val index = event.id?.toIntOrNull() ?: next
            // A resumed stream may start before the asked event.
            if (index < next) return
            next = index + 1
            timing.event()
            sink.accept(event.data)
        }
    }

    private companion object {
        const val RESUME_ATTEMPTS = 3
        const val END_MARK = "[DONE]"
        val REFUSALS = setOf(404, 429)
        val log = LoggerFactory.getLogger(EngineStream::class.java)
    }
}
