package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.AttemptProgress
import io.lavenderhinge.core.forwarding.FinishedAttempt
import io.lavenderhinge.core.forwarding.ForwardRoute
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServerOutcome
import io.lavenderhinge.core.forwarding.SilenceLimits
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.ClientResponse
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.http.LossReason
import io.lavenderhinge.platform.PlatformHeaders
import io.lavenderhinge.platform.ServerRefusal
import io.lavenderhinge.platform.ServerStatementDecoder
import io.netty.handler.codec.http.HttpHeaderNames
import java.net.InetSocketAddress
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * One attempt to send a request to a backend server. Always releases the granted slot at its end
 * and reports the observed server behavior to the dispatcher.
 */
internal class UpstreamAttempt(
    private val client: HttpClient,
    private val allocator: SlotAllocator,
    private val loop: TrafficLoop,
    private val slot: AssignedSlot,
    route: ForwardRoute,
    replacement: ServerReplacement,
    private val turn: AttemptTurn,
    private val ignoredStatements: IgnoredStatements,
    /** Returns false if the request must not be written to the server any more. */
    private val maySend: () -> Boolean,
) {
    private val server: ServerEntry = slot.grant.server
    private val promptTokens = slot.grant.uncachedTokens
    private val routeName = route.name
    private val sentMillis = loop.nowMillis()
    private val progress =
        AttemptProgress(
            SilenceLimits.of(
                route,
                slot.grant.expectedMillis,
                isRollout = allocator.rollouts.isInProgress(server.service, sentMillis),
            ),
            sentMillis,
        )
    private val stallWatch =
        StallWatch(progress, replacement, loop::nowMillis) {
            allocator.rollouts.onStalled(server, routeName)
        }
    private val relayListener =
        object : RelayListener {
            override fun onEvents(count: Int) = onEventsReceived(count)

            override fun onDelivering() = progress.onDelivering(loop.nowMillis())

            override fun onDelivered() = progress.onDelivered(loop.nowMillis())
        }
    /** The unusual responses on the connection, complete when [run] has returned. */
    val responses = ResponseObservation()
    private var isReplaced = false
    private var isWithheld = false
    private var outcome: ServerOutcome = ServerOutcome.Inconclusive

    /**
     * Sends [upstreamRequest] and streams the response to [relay], or returns the complete response
     * if [relay] is null. Ends as [AttemptResult.Replaced] once another server has accepted the
     * request of a silent one.
     */
    suspend fun run(upstreamRequest: HttpRequest, relay: StreamRelay?): AttemptResult =
        try {
            coroutineScope {
                val scope = this
                val watch = launch {
                    turn.await()
                    stallWatch.awaitReplacement()
                    isReplaced = true
                    scope.cancel()
                }
                exchange(upstreamRequest, relay).also { watch.cancel() }
            }
        } catch (e: CancellationException) {
            // Rethrows if the request itself was cancelled.
            currentCoroutineContext().ensureActive()
            if (!isReplaced) throw e
            AttemptResult.Replaced("the server sent nothing for too long")
        }

    private suspend fun exchange(upstreamRequest: HttpRequest, relay: StreamRelay?): AttemptResult {
        var response: ClientResponse? = null
        allocator.rollouts.onRequestSent(server)
        try {
            val received = sendRequest(upstreamRequest)
            response = received
            return readResponse(received, relay)
        } catch (e: HttpCallException.NotSent) {
            // It says nothing about the server that its failure domain was evacuated meanwhile.
            outcome = if (isWithheld) ServerOutcome.Inconclusive else ServerOutcome.Unreachable
            return AttemptResult.NotExecuted(e.message.orEmpty(), wasSent = false)
        } catch (e: HttpCallException.OutcomeUnknown) {
            outcome = lossOutcome(e.reason)
            return AttemptResult.OutcomeUnknown(e.message.orEmpty())
        } catch (e: CancellationException) {
            outcome =
                if (isReplaced) ServerOutcome.Unresponsive else progress.abandoned(loop.nowMillis())
            throw e
        } finally {
            response?.abort()
            val versionOutcome = progress.versionOutcome(outcome)
            allocator.rollouts.onRequestEnded(server, routeName, versionOutcome, loop.nowMillis())
            allocator.release(finishedAttempt())
        }
    }

    private fun lossOutcome(reason: LossReason): ServerOutcome =
        when (reason) {
            LossReason.CONNECTION_CLOSED -> ServerOutcome.ConnectionLost
            LossReason.SILENCE -> ServerOutcome.Unresponsive
            LossReason.INVALID_RESPONSE -> ServerOutcome.Failed
        }

    private fun finishedAttempt() =
        FinishedAttempt(
            server,
            outcome,
            promptTokens,
            isPromptPending = !progress.hasFirstEvent,
            slot.request.priority,
            slot.request.promptParts,
            sentMillis,
            slot.request.digest,
            slot.request.workspace,
        )

    private suspend fun sendRequest(upstreamRequest: HttpRequest): ClientResponse {
        val id = upstreamRequest.header(PlatformHeaders.REQUEST_ID)
        val response =
            client.send(
                InetSocketAddress(server.ip, server.port),
                upstreamRequest,
                // The request's deadline and its replacement cancel the attempt.
                CallTimeouts(CONNECT_MILLIS, CallTimeouts.NO_LIMIT_MILLIS),
                // Without an id, only the first response on a connection can be attributed.
                reuseConnection = !id.isNullOrEmpty() && server.run !in allocator.unidentifiedRuns,
                matcher = RequestIdMatcher(id, responses),
                isAllowed = { maySend().also { isWithheld = !it } },
                onSent = turn::onSent,
            )
        if (!id.isNullOrEmpty()) recordIdentification(response)
        return response
    }

    // Refusals may lack the id at servers that repeat it otherwise.
    private fun recordIdentification(response: ClientResponse) {
        if (!responses.isUnidentified) return
        if (ServerRefusal.isStatedBy(response.status, response.headers)) return
        if (allocator.unidentifiedRuns.onUnidentified(server.run)) {
            log.info(
                "server: {} answered without a request id, its connections are not kept",
                server.run,
            )
        }
    }

    private suspend fun readResponse(response: ClientResponse, relay: StreamRelay?): AttemptResult {
        val isSigned = response.headers.contains(PlatformHeaders.SIGNATURE)
        recordStatement(response, isSigned)
        if (ServerRefusal.isStatedBy(response.status, response.headers)) {
            return readNotExecuted(response)
        }
        val isSuccess = response.status in SUCCESS_STATUSES
        if (isSuccess && !isSigned)
            throw outcomeUnknown("sent a success response without its signature")
        // Clients request bodies without an encoding, so another one is not the server's body.
        if (response.headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            throw outcomeUnknown("sent a body with an encoding that was not requested")
        }
        if (isSuccess && relay != null) {
            awaitTurn()
            return relayStream(response, relay)
        }
        val body = response.readAll()
        onEventsReceived(0)
        val result = AttemptResult.Response(response.status, responseFields(response.headers), body)
        if (result.isFailure) outcome = ServerOutcome.Failed else recordAnswered()
        // Another response cannot be passed on in place of the rest of a stream.
        if (!result.isFailure && relay?.isStarted != true) awaitTurn()
        return result
    }

    private suspend fun awaitTurn() {
        turn.onAccepted()
        turn.await()
    }

    private fun recordStatement(response: ClientResponse, isSigned: Boolean) {
        // Another server may have taken over the address.
        if (isMisdirected(response)) return
        val decoded = ServerStatementDecoder.decode(response.status, response.headers)
        decoded.ignoredFields.forEach { ignoredStatements.onIgnored(server.id, it, sentMillis) }
        allocator.onStatement(server, decoded.statement)
        // Only a signed response without a limit proves that the server has lifted it.
        val limitPerSecond = decoded.statement.limitPerSecond
        if (limitPerSecond != null || isSigned) allocator.onRateLimit(server, limitPerSecond)
    }

    private suspend fun relayStream(response: ClientResponse, relay: StreamRelay): AttemptResult {
        relay.relay(response, relayListener)
        recordAnswered()
        return AttemptResult.Delivered
    }

    private suspend fun readNotExecuted(response: ClientResponse): AttemptResult {
        val status = response.status
        outcome =
            if (status == HttpStatus.MISDIRECTED) ServerOutcome.Unreachable else ServerOutcome.Full
        if (status == HttpStatus.BAD_REQUEST) {
            outcome = ServerOutcome.Inconclusive
            return AttemptResult.Response(
                status,
                responseFields(response.headers),
                response.readAll(),
            )
        }
        // Reading the body keeps the connection reusable; a read failure does not change the
        // result.
        runCatching { response.readAll() }.onFailure { if (it is CancellationException) throw it }
        return AttemptResult.NotExecuted(
            "the server did not execute it (status $status)",
            wasSent = true,
        )
    }

    private fun isMisdirected(response: ClientResponse) = response.status == HttpStatus.MISDIRECTED

    private fun onEventsReceived(count: Int) {
        stallWatch.onProgress()
        val isFirst = !progress.hasFirstEvent
        progress.onEvents(count, loop.nowMillis())
        allocator.onServerActivity(server, sentMillis)
        if (isFirst) allocator.onFirstEvent(server, promptTokens)
    }

    private fun recordAnswered() {
        outcome = progress.answered(promptTokens, loop.nowMillis())
    }

    private fun outcomeUnknown(what: String) = HttpCallException.OutcomeUnknown("the server $what")

    private companion object {
        /**
         * Round trips take a few milliseconds, while a lost SYN is retransmitted only after
         * seconds.
         */
        const val CONNECT_MILLIS = 400L
        val SUCCESS_STATUSES = 200..299
        val log = LoggerFactory.getLogger(UpstreamAttempt::class.java)
    }
}
