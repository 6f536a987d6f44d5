package io.lavenderhinge.instance.caller

import arrow.core.getOrElse
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import io.lavenderhinge.adapters.HttpModelEngine
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.health.FailureKind
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.routing.SlotRequest
import io.lavenderhinge.core.scheduling.ResultClass
import io.lavenderhinge.core.scheduling.SlotResult
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.instance.dispatch.EngineStreamClient
import io.lavenderhinge.instance.dispatch.StreamObservation
import io.lavenderhinge.instance.dispatch.StreamOutcome
import io.lavenderhinge.instance.scheduling.Slot
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Serves chat completions: acquires a slot, dispatches to an engine and relays its stream.
 *
 * A request is retried on another backend server only if it was not sent or the server refused it.
 */
internal class ModelRequestHandler(
    private val services: RequestServices,
    private val client: HttpClient,
    private val background: CoroutineScope,
) {
    private val engineStreams = EngineStreamClient(client)

    suspend fun serve(exchange: HttpExchange, context: RequestContext, body: JsonNode?) {
        val estimate = (body as? ObjectNode)?.let(::estimatePrompt)
        if (body == null || estimate == null)
            return services.respondWithProblem(exchange, context, Problem.INVALID_BODY)
        val target = TeamTarget(context.team.team, context.route.target)
        val version =
            services.versionSelector.versionFor(target, context.attemptId)
                ?: return services.respondWithProblem(exchange, context, Problem.NO_ROUTE)
        val request = slotRequest(context, version, estimate)
        val writer = CompletionWriter.of(exchange, context, body)
        val checkedRevision = services.promptGuard.revision
        if (isBlocked(request, estimate))
            return services.respondWithProblem(exchange, context, Problem.PROMPT_QUARANTINED)
        repeat(MAX_DISPATCH_ATTEMPTS) { attempt ->
            val slot =
                services.slots
                    .acquire(request.copy(requestId = "${context.attemptId}.$attempt"))
                    .getOrElse {
                        return services.respondWithProblem(exchange, context, Problem.of(it))
                    }
            // A part of the prompt may have been quarantined while the request was queued.
            val isUnchanged = services.promptGuard.revision == checkedRevision
            if (!isUnchanged && isBlocked(request, estimate)) {
                slot.release()
                return services.respondWithProblem(exchange, context, Problem.PROMPT_QUARANTINED)
            }
            val dispatchAttempt =
                DispatchAttempt(context, target, slot, writer, upstreamBody(body), estimate)
            if (dispatchAttempt.execute() == AttemptOutcome.RESPONDED) return
        }
        services.respondWithProblem(exchange, context, Problem.NO_BACKEND_SERVER)
    }

    private suspend fun isBlocked(request: SlotRequest, estimate: PromptEstimate): Boolean =
        services.promptGuard.blockedPart(request.target.name, estimate.partIds) != null

    private fun slotRequest(context: RequestContext, version: String, estimate: PromptEstimate) =
        SlotRequest(
            requestId = context.attemptId,
            target = context.route.target,
            version = version,
            tier = context.route.tier,
            workspace = context.workspace.id,
            weight = context.workspace.weight,
            deadlineMillis = context.deadlineMillis,
            promptTokens = estimate.promptTokens,
            outputTokens = estimate.outputTokens,
            prefixHashes = estimate.prefixHashes,
            firstTokenDueMillis = context.receivedMillis + context.route.firstTokenMillis,
        )

    /** Always requests a stream, to monitor progress and resume an interrupted response. */
    private fun upstreamBody(body: ObjectNode): ByteArray =
        Json.render(body.deepCopy().put("stream", true))

    private enum class AttemptOutcome {
        RESPONDED,
        NOT_RUN,
    }

    private sealed interface StreamTermination {
        data class Ended(val outcome: StreamOutcome) : StreamTermination

        data object Preempted : StreamTermination

        data object DeadlineExceeded : StreamTermination
    }

    /** Dispatches a request once, in one slot. */
    private inner class DispatchAttempt(
        private val context: RequestContext,
        private val target: TeamTarget,
        private val slot: Slot,
        private val writer: CompletionWriter,
        private val body: ByteArray,
        private val prompt: PromptEstimate,
    ) {
        private val observation = StreamObservation()
        private val version = slot.server.version
        private val model = target.target.name
        private val engineAddress = socketAddress(slot.server.address)

        suspend fun execute(): AttemptOutcome {
            val tier = context.route.tier
            services.metrics.recordQueueWait(tier, services.nowMillis() - context.receivedMillis)
            services.metrics.recordDispatch(target.target.name, version)
            val termination =
                try {
                    stream()
                } catch (e: Exception) {
                    // The caller disconnected, or its connection failed during the response.
                    cancelAtEngine()
                    releaseSlot(ResultClass.CANCELLED)
                    throw e
                }
            return when (termination) {
                is StreamTermination.Ended -> handleStreamOutcome(termination.outcome)
                StreamTermination.Preempted -> abandon(Problem.PREEMPTED, ResultClass.CANCELLED)
                StreamTermination.DeadlineExceeded -> {
                    recordOutcome(RequestOutcome.TimedOut)
                    services.serverOutcomes.recordFailure(slot.server.id, FailureKind.TIMEOUT)
                    abandon(Problem.DEADLINE_EXCEEDED, ResultClass.TIMEOUT)
                }
            }
        }

        private suspend fun stream(): StreamTermination = coroutineScope {
            val streaming = async {
                engineStreams.generate(
                    engineAddress,
                    context.attemptId,
                    version,
                    body,
                    observation,
                    writer::writeEvent,
                )
            }
            val interruption = async { awaitInterruption() }
            val termination = select {
                streaming.onAwait { StreamTermination.Ended(it) }
                interruption.onAwait { it }
            }
            streaming.cancel()
            interruption.cancel()
            termination
        }

        private suspend fun awaitInterruption(): StreamTermination {
            val remainingMillis = (context.deadlineMillis - services.nowMillis()).coerceAtLeast(0)
            return withTimeoutOrNull(remainingMillis) {
                slot.preempted.await()
                StreamTermination.Preempted
            } ?: StreamTermination.DeadlineExceeded
        }

        private suspend fun handleStreamOutcome(outcome: StreamOutcome): AttemptOutcome =
            when (outcome) {
                StreamOutcome.Complete -> handleCompletion()
                is StreamOutcome.NotSent -> {
                    services.serverOutcomes.recordFailure(
                        slot.server.id,
                        FailureKind.CONNECTION_REFUSED,
                    )
                    releaseSlot(ResultClass.CONNECTION_FAILED)
                    AttemptOutcome.NOT_RUN
                }
                is StreamOutcome.Refused -> {
                    if (outcome.draining)
                        services.serverOutcomes.recordFailure(slot.server.id, FailureKind.DRAINING)
                    releaseSlot(
                        if (outcome.draining) ResultClass.DRAINING else ResultClass.SERVER_ERROR
                    )
                    AttemptOutcome.NOT_RUN
                }
                is StreamOutcome.Failed ->
                    handleEngineFailure(FailureKind.SERVER_ERROR, ResultClass.SERVER_ERROR)
                is StreamOutcome.Lost -> {
                    services.promptGuard.recordCrash(slot.server.id, model, prompt.partIds)
                    handleEngineFailure(FailureKind.CONNECTION_RESET, ResultClass.CONNECTION_FAILED)
                }
            }

        private suspend fun handleCompletion(): AttemptOutcome {
            releaseSlot(ResultClass.OK)
            val nowMillis = services.nowMillis()
            val firstTokenSinceArrivalMillis = writer.firstEventMillis - context.receivedMillis
            services.serverOutcomes.recordSuccess(slot.server.id, observation.firstTokenMillis)
            recordOutcome(RequestOutcome.Answered(observation.firstTokenMillis))
            services.promptGuard.recordAnswer(model, prompt.partIds)
            val tier = context.route.tier
            services.metrics.recordFirstToken(tier, firstTokenSinceArrivalMillis)
            services.metrics.recordBetweenTokens(tier, observation.betweenTokensMicros)
            val metTargets =
                firstTokenSinceArrivalMillis <= context.route.firstTokenMillis &&
                    observation.betweenTokensMicros <=
                        context.route.betweenTokensMillis * MICROS_PER_MILLI &&
                    nowMillis <= context.deadlineMillis
            services.metrics.recordAnswered(
                tier,
                context.workspace.id,
                nowMillis - context.receivedMillis,
                metTargets,
            )
            writer.finish()
            return AttemptOutcome.RESPONDED
        }

        private suspend fun handleEngineFailure(
            kind: FailureKind,
            result: ResultClass,
        ): AttemptOutcome {
            services.serverOutcomes.recordFailure(slot.server.id, kind)
            recordOutcome(RequestOutcome.Failed)
            return abandon(Problem.ANSWER_LOST, result)
        }

        private suspend fun abandon(problem: Problem, result: ResultClass): AttemptOutcome {
            cancelAtEngine()
            releaseSlot(result)
            services.metrics.recordProblem(context.route.tier, problem.code, problem.outcome.text)
            writer.fail(problem)
            return AttemptOutcome.RESPONDED
        }

        private fun cancelAtEngine() {
            services.metrics.recordWastedPrefill(context.route.tier, prompt.promptTokens)
            background.launch { HttpModelEngine(client, engineAddress).cancel(context.attemptId) }
        }

        private fun recordOutcome(outcome: RequestOutcome) =
            services.versionSelector.recordOutcome(target, context.route.name, version, outcome)

        private fun releaseSlot(result: ResultClass) =
            slot.done(
                SlotResult(
                    resultClass = result,
                    firstTokenMillis = observation.firstTokenMillis,
                    betweenTokensMicros = observation.betweenTokensMicros,
                    promptTokens = prompt.promptTokens,
                    outputTokens = observation.eventCount,
                    limitStatement = observation.limitStatement,
                )
            )
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000L
    }
}
