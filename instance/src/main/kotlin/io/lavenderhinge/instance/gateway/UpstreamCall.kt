package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.DispatchEffect
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServerOutcome
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.platform.PlatformHeaders
import java.net.InetSocketAddress
import kotlinx.coroutines.CancellationException

/** Longest silences of a backend server before the request is given up. */
internal data class SilenceLimits(val firstEventMillis: Long, val betweenEventsMillis: Long)

/**
 * One send of a request to one backend server. Holds its slot from the grant to the end, whatever
 * the end is, and tells the dispatcher what was seen of the server.
 */
internal class UpstreamCall(
    private val client: HttpClient,
    private val broker: SlotBroker,
    private val loop: TrafficLoop,
    private val grant: DispatchEffect.Assign,
    private val promptTokens: Double,
    private val silence: SilenceLimits,
    private val route: String,
) {
    private val server: ServerEntry = grant.server
    private val sentMillis = loop.nowMillis()
    private var firstEventMillis: Long? = null
    private var events = 0
    private var outcome: ServerOutcome = ServerOutcome.Inconclusive

    /**
     * Sends [request] and passes its stream to [relay], or returns the whole answer when [relay] is
     * null.
     */
    suspend fun run(request: HttpRequest, relay: StreamRelay?): AttemptResult {
        var response: ClientResponse? = null
        broker.rollouts.onRequestSent(server)
        try {
            val opened = open(request)
            response = opened
            return read(opened, relay)
        } catch (e: HttpCallException.NotSent) {
            outcome = ServerOutcome.Unreachable
            return AttemptResult.NotRun(e.message.orEmpty(), wasSent = false)
        } catch (e: HttpCallException.OutcomeUnknown) {
            outcome = ServerOutcome.Failed
            return AttemptResult.Lost(e.message.orEmpty())
        } catch (e: CancellationException) {
            if (wasMute()) outcome = ServerOutcome.Failed
            throw e
        } finally {
            response?.abort()
            broker.rollouts.onRequestEnded(server, route, outcome, loop.nowMillis())
            broker.release(server, outcome, promptTokens, promptPending = firstEventMillis == null)
        }
    }

    private suspend fun open(request: HttpRequest): ClientResponse {
        val id = request.header(PlatformHeaders.REQUEST_ID)
        return client.send(
            InetSocketAddress(server.ip, server.port),
            request,
            CallTimeouts(CONNECT_MILLIS, silence.firstEventMillis),
            // A late answer to an earlier request on the connection has another id.
            accepts = { it.get(PlatformHeaders.REQUEST_ID)?.equals(id) ?: true },
        )
    }

    private suspend fun read(response: ClientResponse, relay: StreamRelay?): AttemptResult {
        if (response.headers.contains(PlatformHeaders.NOT_EXECUTED) || isMisdirected(response)) {
            return notRun(response)
        }
        val isSigned = response.headers.contains(PlatformHeaders.SIGNATURE)
        val isSuccess = response.status in SUCCESSES
        if (isSuccess && !isSigned) throw unknown("sent a success without its signature")
        if (isSuccess && relay != null) return relayed(response, relay)
        val body = response.readAll()
        markEvents(0)
        val answer = AttemptResult.Answer(response.status, responseFields(response.headers), body)
        if (answer.isFailure) outcome = ServerOutcome.Failed else answered()
        return answer
    }

    private suspend fun relayed(response: ClientResponse, relay: StreamRelay): AttemptResult {
        relay.relay(response, ::markEvents, silence.betweenEventsMillis)
        answered()
        return AttemptResult.Delivered
    }

    private suspend fun notRun(response: ClientResponse): AttemptResult {
        val status = response.status
        outcome =
            if (status == HttpStatus.MISDIRECTED) ServerOutcome.Unreachable else ServerOutcome.Full
        if (status == HttpStatus.BAD_REQUEST) {
            outcome = ServerOutcome.Inconclusive
            return AttemptResult.Answer(
                status,
                responseFields(response.headers),
                response.readAll(),
            )
        }
        // Reading to the end keeps the connection; a failure to do so does not change the answer.
        runCatching { response.readAll() }.onFailure { if (it is CancellationException) throw it }
        return AttemptResult.NotRun("the server did not run it (status $status)", wasSent = true)
    }

    private fun isMisdirected(response: ClientResponse) = response.status == HttpStatus.MISDIRECTED

    private fun markEvents(count: Int) {
        events += count
        broker.onSign(server)
        if (firstEventMillis != null) return
        firstEventMillis = loop.nowMillis()
        broker.firstEvent(server, promptTokens)
    }

    private fun answered() {
        val nowMillis = loop.nowMillis()
        outcome =
            ServerOutcome.Answered(
                firstEventMillis = ((firstEventMillis ?: nowMillis) - sentMillis).toDouble(),
                holdMillis = (nowMillis - sentMillis).toDouble(),
                promptTokens = promptTokens,
                events = events,
            )
    }

    // A caller that gives up on a server which should have answered long ago tells of the server.
    private fun wasMute(): Boolean {
        val waitedMillis = loop.nowMillis() - sentMillis
        return firstEventMillis == null &&
            waitedMillis > MUTE_FACTOR * grant.expectedMillis + MUTE_MILLIS
    }

    private fun unknown(what: String) = HttpCallException.OutcomeUnknown("the server $what")

    private companion object {
        /** Servers are a few milliseconds away; a lost opening packet is repeated after seconds. */
        const val CONNECT_MILLIS = 400L
        const val MUTE_FACTOR = 4.0
        const val MUTE_MILLIS = 300L
        val SUCCESSES = 200..299
    }
}
