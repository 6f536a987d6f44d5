package io.lavenderhinge.instance.caller

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
import io.lavenderhinge.instance.dispatch.EngineStream
import io.lavenderhinge.instance.dispatch.StreamEnd
import io.lavenderhinge.instance.dispatch.StreamTiming
import io.lavenderhinge.instance.scheduling.Slot
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Serves chat completions: one slot, one dispatch, a stream to the caller.
 *
 * Another backend server is tried only while nothing was sent or the server refused to run it.
 */
internal class ModelRequests(
    private val services: RequestServices,
    private val client: HttpClient,
    private val background: CoroutineScope,
) {
    private val streams = EngineStream(client)

    suspend fun serve(exchange: HttpExchange, context: RequestContext, body: JsonNode?) {
        val estimate = (body as? ObjectNode)?.let(::estimatePrompt)
        if (body == null || estimate == null) return refuse(exchange, context, Problem.INVALID_BODY)
        val target = TeamTarget(context.team.team, context.route.target)
        val version =
            services.versions.versionFor(target, context.attemptId)
                ?: return refuse(exchange, context, Problem.NO_ROUTE)
        val request = slotRequest(context, version, estimate)
        val answer = AnswerWriter.of(exchange, context, body)
        repeat(DISPATCH_ATTEMPTS) { attempt ->
            val slot =
                services.slots
                    .acquire(request.copy(requestId = "${context.attemptId}.$attempt"))
                    .fold(
                        {
                            return refuse(exchange, context, Problem.of(it))
                        },
                        { it },
                    )
            val run = Run(context, target, slot, answer, upstreamBody(body), estimate.promptTokens)
            if (run.execute() == RunEnd.ANSWERED) return
        }
        refuse(exchange, context, Problem.NO_SERVER_TOOK_IT)
    }

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

    private fun attempt(request: SlotRequest, attempt: Int) =
        request.copy(requestId = "${request.requestId}.$attempt", attempt = attempt)

    /** The engine always streams, so that progress can be watched and a cut answer resumed. */
    private fun upstreamBody(body: ObjectNode): ByteArray =
        Json.render(body.deepCopy().put("stream", true))

    private suspend fun refuse(exchange: HttpExchange, context: RequestContext, problem: Problem) {
        services.metrics.refused(context.route.tier, problem.code, problem.outcome.text)
        exchange.respond(problem.response(context.requestId))
    }

    private enum class RunEnd {
        ANSWERED,
        NOT_RUN,
    }

    private sealed interface Finish {
        data class Ended(val end: StreamEnd) : Finish

        data object Preempted : Finish

        data object DeadlineExceeded : Finish
    }

    /** One dispatch of a request in one slot. */
    private inner class Run(
        private val context: RequestContext,
        private val target: TeamTarget,
        private val slot: Slot,
        private val answer: AnswerWriter,
        private val body: ByteArray,
        private val promptTokens: Int,
    ) {
        private val timing = StreamTiming()
        private val version = slot.server.version
        private val engineAddress = socketAddress(slot.server.address)

        suspend fun execute(): RunEnd {
            val tier = context.route.tier
            services.metrics.queueWait(tier, services.nowMillis() - context.receivedMillis)
            services.metrics.dispatched(target.target.name, version)
            val finish =
                try {
                    stream()
                } catch (e: Exception) {
                    // The caller disconnected, or its connection broke while the answer was
                    // written.
                    cancelAtEngine()
                    end(ResultClass.CANCELLED)
                    throw e
                }
            return when (finish) {
                is Finish.Ended -> ended(finish.end)
                Finish.Preempted -> abandoned(Problem.PREEMPTED, ResultClass.CANCELLED)
                Finish.DeadlineExceeded -> {
                    observe(RequestOutcome.TimedOut)
                    services.evidence.failed(slot.server.id, FailureKind.TIMEOUT)
                    abandoned(Problem.TIMEOUT, ResultClass.TIMEOUT)
                }
            }
        }

        private suspend fun stream(): Finish = coroutineScope {
            val streaming = async {
                streams.run(engineAddress, context.attemptId, version, body, timing, answer::event)
            }
            val interrupted = async { awaitInterruption() }
            val finish = select {
                streaming.onAwait { Finish.Ended(it) }
                interrupted.onAwait { it }
            }
            streaming.cancel()
            interrupted.cancel()
            finish
        }

        private suspend fun awaitInterruption(): Finish {
            val leftMillis = (context.deadlineMillis - services.nowMillis()).coerceAtLeast(0)
            return withTimeoutOrNull(leftMillis) {
                slot.preempted.await()
                Finish.Preempted
            } ?: Finish.DeadlineExceeded
        }

        private suspend fun ended(end: StreamEnd): RunEnd =
            when (end) {
                StreamEnd.Complete -> complete()
                is StreamEnd.NotSent -> {
                    services.evidence.failed(slot.server.id, FailureKind.CONNECTION_REFUSED)
                    end(ResultClass.CONNECTION_FAILED)
                    RunEnd.NOT_RUN
                }
                is StreamEnd.Refused -> {
                    if (end.draining) services.evidence.failed(slot.server.id, FailureKind.DRAINING)
                    end(if (end.draining) ResultClass.DRAINING else ResultClass.SERVER_ERROR)
                    RunEnd.NOT_RUN
                }
                is StreamEnd.Failed -> failed(FailureKind.SERVER_ERROR, ResultClass.SERVER_ERROR)
                is StreamEnd.Lost ->
                    failed(FailureKind.CONNECTION_RESET, ResultClass.CONNECTION_FAILED)
            }

        private suspend fun complete(): RunEnd {
            end(ResultClass.OK)
            val nowMillis = services.nowMillis()
            val queuedAndFirstMillis = answer.firstEventMillis - context.receivedMillis
            services.evidence.answered(slot.server.id, timing.firstTokenMillis)
            observe(RequestOutcome.Answered(timing.firstTokenMillis))
            val tier = context.route.tier
            services.metrics.firstToken(tier, queuedAndFirstMillis)
            services.metrics.betweenTokens(tier, timing.betweenTokensMicros)
            val met =
                queuedAndFirstMillis <= context.route.firstTokenMillis &&
                    timing.betweenTokensMicros <= context.route.betweenTokensMillis * MICROS &&
                    nowMillis <= context.deadlineMillis
            services.metrics.answered(
                tier,
                context.workspace.id,
                nowMillis - context.receivedMillis,
                met,
            )
            answer.finish()
            return RunEnd.ANSWERED
        }

        private suspend fun failed(kind: FailureKind, result: ResultClass): RunEnd {
            services.evidence.failed(slot.server.id, kind)
            observe(RequestOutcome.Failed)
            return abandoned(Problem.ENGINE_UNKNOWN, result)
        }

        private suspend fun abandoned(problem: Problem, result: ResultClass): RunEnd {
            cancelAtEngine()
            end(result)
            services.metrics.refused(context.route.tier, problem.code, problem.outcome.text)
            answer.fail(problem)
            return RunEnd.ANSWERED
        }

        private fun cancelAtEngine() {
            services.metrics.wastedPrefill(context.route.tier, promptTokens)
            background.launch { HttpModelEngine(client, engineAddress).cancel(context.attemptId) }
        }

        private fun observe(outcome: RequestOutcome) =
            services.versions.observe(target, context.route.name, version, outcome)

        private fun end(result: ResultClass) =
            slot.done(
                SlotResult(
                    resultClass = result,
                    firstTokenMillis = timing.firstTokenMillis,
                    betweenTokensMicros = timing.betweenTokensMicros,
                    promptTokens = promptTokens,
                    outputTokens = timing.events,
                )
            )
    }

    private companion object {
        const val MICROS = 1_000L
    }
}
