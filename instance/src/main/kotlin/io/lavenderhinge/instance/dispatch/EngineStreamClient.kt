package io.lavenderhinge.instance.dispatch

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.adapters.RequestIdHeader
import io.lavenderhinge.adapters.RequestLimitHeader
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpStatus
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import org.slf4j.LoggerFactory

/** Receives the data of each event of a stream, in order and without duplicates. */
internal fun interface EventConsumer {
    suspend fun accept(data: String)
}

/** Outcome of a stream. */
internal sealed interface StreamOutcome {
    /** The engine sent the complete response. */
    data object Complete : StreamOutcome

    /** The request was not sent and can be retried on another backend server. */
    data class NotSent(val message: String) : StreamOutcome

    /** The engine refused the request without running it. */
    data class Refused(val status: Int, val draining: Boolean) : StreamOutcome

    /** The engine responded with an error and may have run the request. */
    data class Failed(val status: Int) : StreamOutcome

    /** The response was interrupted and could not be resumed. */
    data class Lost(val message: String) : StreamOutcome
}

/** What an instance observes of an engine during a stream. */
internal class StreamObservation(private val startedNanos: Long = System.nanoTime()) {
    private var firstEventNanos = 0L
    private var lastEventNanos = 0L
    var eventCount = 0
        private set

    fun recordEvent() {
        lastEventNanos = System.nanoTime()
        if (eventCount == 0) firstEventNanos = lastEventNanos
        eventCount++
    }

    /** What the head of the response says of the engine's request limit; null without a head. */
    var limitStatement: LimitStatement? = null

    /** Time to the first event; 0 until it arrives. */
    val firstTokenMillis: Long
        get() = if (eventCount == 0) 0 else (firstEventNanos - startedNanos) / NANOS_PER_MILLI

    /** Mean time between events; 0 until the second event arrives. */
    val betweenTokensMicros: Long
        get() =
            if (eventCount < 2) 0
            else (lastEventNanos - firstEventNanos) / (eventCount - 1) / NANOS_PER_MICRO

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}

/**
 * Runs a generation on an engine and recovers from broken or stalled connections.
 *
 * The request is sent only once, since the engine may have run it. An interrupted stream is resumed
 * from the next event on a new connection.
 */
internal class EngineStreamClient(
    private val client: HttpClient,
    private val timeouts: CallTimeouts = CallTimeouts(progressMillis = 10_000),
) {
    suspend fun generate(
        address: InetSocketAddress,
        attemptId: String,
        version: String,
        body: ByteArray,
        observation: StreamObservation,
        consumer: EventConsumer,
    ): StreamOutcome {
        val headers = DefaultHttpHeaders()
        headers.set("Content-Type", "application/json")
        headers.set("X-Model-Version", version)
        val request = HttpRequest("POST", "/v1/chat/completions", "", headers, body)
        val progress = StreamProgress(observation, consumer)
        val response =
            try {
                send(address, request, attemptId)
            } catch (e: HttpCallException.NotSent) {
                return StreamOutcome.NotSent(e.message.orEmpty())
            } catch (e: HttpCallException.OutcomeUnknown) {
                return resume(address, attemptId, progress, e.message.orEmpty())
            }
        observation.limitStatement =
            RequestLimitHeader.decode(response.headers.get(RequestLimitHeader.NAME))
        if (response.status != HttpStatus.OK) return classifyErrorResponse(response)
        return when (val cutReason = progress.deliverEvents(response)) {
            null -> StreamOutcome.Complete
            else -> resume(address, attemptId, progress, cutReason)
        }
    }

    private suspend fun send(
        address: InetSocketAddress,
        request: HttpRequest,
        attemptId: String,
        reuseConnection: Boolean = true,
    ): ClientResponse {
        request.headers.set(RequestIdHeader.NAME, attemptId)
        val matcher = RequestIdHeader.matcher(attemptId)
        return client.send(address, request, timeouts, reuseConnection, matcher)
    }

    private suspend fun resume(
        address: InetSocketAddress,
        attemptId: String,
        progress: StreamProgress,
        cutReason: String,
    ): StreamOutcome {
        var reason = cutReason
        repeat(MAX_RESUME_ATTEMPTS) {
            log.info(
                "dispatch: resuming {} from event {}: {}",
                attemptId,
                progress.nextEventIndex,
                reason,
            )
            reason = resumeOnce(address, attemptId, progress) ?: return StreamOutcome.Complete
        }
        return StreamOutcome.Lost(reason)
    }

    /** Returns null if the stream completed, otherwise the reason why it was interrupted. */
    private suspend fun resumeOnce(
        address: InetSocketAddress,
        attemptId: String,
        progress: StreamProgress,
    ): String? {
        val path = "/v1/streams/$attemptId"
        val query = "from=${progress.nextEventIndex}"
        val request = HttpRequest("GET", path, query, DefaultHttpHeaders(), ByteArray(0))
        val response =
            try {
                send(address, request, attemptId, reuseConnection = false)
            } catch (e: HttpCallException) {
                return e.message.orEmpty()
            }
        if (response.status == HttpStatus.OK) return progress.deliverEvents(response)
        response.abort()
        return "the engine refused to resume the stream (status ${response.status})"
    }

    private suspend fun classifyErrorResponse(response: ClientResponse): StreamOutcome {
        val body =
            try {
                Json.parseOrNull(response.readAll())
            } catch (_: HttpCallException) {
                null
            }
        val draining = body?.path("draining")?.asBoolean(false) ?: false
        val notRun = draining || response.status in NOT_RUN_STATUSES
        return if (notRun) StreamOutcome.Refused(response.status, draining)
        else StreamOutcome.Failed(response.status)
    }

    private class StreamProgress(
        private val observation: StreamObservation,
        private val consumer: EventConsumer,
    ) {
        /** Index of the next event to deliver to the consumer. */
        var nextEventIndex = 0
            private set

        /**
         * Delivers events; returns null if the stream completed, otherwise why it was interrupted.
         */
        suspend fun deliverEvents(response: ClientResponse): String? =
            try {
                if (deliverUntilDone(response)) null else "the stream ended without $DONE_MARKER"
            } catch (e: HttpCallException) {
                e.message.orEmpty()
            } finally {
                response.abort()
            }

        /** Returns whether the stream ended with [DONE_MARKER]. */
        private suspend fun deliverUntilDone(response: ClientResponse): Boolean {
            val parser = SseParser()
            while (true) {
                val events = parser.feed(response.readChunk() ?: return false)
                events.takeWhile { it.data != DONE_MARKER }.forEach { deliver(it) }
                if (events.any { it.data == DONE_MARKER }) {
                    response.readAll()
                    return true
                }
            }
        }

        private suspend fun deliver(event: SseEvent) {
            val index = event.id?.toIntOrNull() ?: nextEventIndex
            // A resumed stream may start before the requested event.
            if (index < nextEventIndex) return
            nextEventIndex = index + 1
            observation.recordEvent()
            consumer.accept(event.data)
        }
    }

    private companion object {
        const val MAX_RESUME_ATTEMPTS = 3
        const val DONE_MARKER = "[DONE]"
        val NOT_RUN_STATUSES = setOf(404, 429)
        val log = LoggerFactory.getLogger(EngineStreamClient::class.java)
    }
}
