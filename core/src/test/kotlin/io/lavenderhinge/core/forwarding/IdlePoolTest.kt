package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val SHORT_TOKENS = 3_720.0
private const val LONG_TOKENS = 3_780.0

/**
 * Guards against a prediction that closes an idle pool for good: if nothing is sent, nothing
 * corrects it.
 */
class IdlePoolTest :
    FunSpec({
        val server = server("a", slots = 2)

        fun draft(id: Long, nowMillis: Long, promptTokens: Double) =
            request(id, arrivedMillis = nowMillis, promptTokens = promptTokens)
                .copy(firstEventDeadlineMillis = nowMillis + 2_400)

        fun Dispatcher.answer(request: DispatchRequest, firstEventMillis: Double, nowMillis: Long) =
            onFinished(
                finished(
                    server,
                    ServerOutcome.Answered(
                        firstEventMillis,
                        firstEventMillis + 100,
                        request.promptTokens,
                        events = 30,
                    ),
                    promptTokens = request.promptTokens,
                    request = request,
                ),
                nowMillis,
            )

        /**
         * A dispatcher that has learnt from prompts of nearly one length that they take seconds.
         */
        fun misledDispatcher(): Dispatcher {
            val dispatcher = Dispatcher("d")
            dispatcher.onServers(listOf(server), nowMillis = 0)
            for (id in 0L until 20) {
                val tokens = if (id % 2 == 0L) SHORT_TOKENS else LONG_TOKENS
                val request = draft(id, nowMillis = id * 10, tokens)
                dispatcher.submit(request, nowMillis = id * 10)
                dispatcher.answer(request, if (id % 2 == 0L) 100.0 else 9_000.0, id * 10 + 5)
            }
            return dispatcher
        }

        test("given an idle pool and a prediction of seconds, then a request is sent") {
            val effects =
                misledDispatcher().submit(draft(100, 60_000, LONG_TOKENS), nowMillis = 60_000)

            effects.single().shouldBeInstanceOf<DispatchEffect.Assign>()
        }

        test("given requests that are answered quickly, then the prediction recovers") {
            val dispatcher = misledDispatcher()

            val sent =
                (100L until 400).count { id ->
                    val nowMillis = 60_000 + id * 100
                    val request = draft(id, nowMillis, LONG_TOKENS)
                    val effect = dispatcher.submit(request, nowMillis).single()
                    if (effect is DispatchEffect.Assign) {
                        dispatcher.answer(request, 100.0, nowMillis + 50)
                    }
                    effect is DispatchEffect.Assign
                }

            sent shouldBe 300
        }

        // Guards against keeping requests that cannot be in time behind a full pool.
        test("given a full pool and a prediction of seconds, then a request is refused") {
            val dispatcher = misledDispatcher()
            repeat(2) { dispatcher.submit(draft(100L + it, 60_000, LONG_TOKENS), 60_000) }

            val effects = dispatcher.submit(draft(200, 60_010, LONG_TOKENS), nowMillis = 60_010)

            effects.single().shouldBeInstanceOf<DispatchEffect.Refuse>()
        }
    })
