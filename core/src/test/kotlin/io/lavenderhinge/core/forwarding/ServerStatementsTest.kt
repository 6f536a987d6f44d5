package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

private const val DRAIN_MILLIS = 2_000L

/** Guards against sending requests to servers that have said that they do not want them. */
class ServerStatementsTest :
    FunSpec({
        fun dispatcher(vararg servers: ServerEntry) =
            Dispatcher("d", drainMillis = DRAIN_MILLIS).also {
                it.onServers(servers.toList(), nowMillis = 0)
            }

        fun Dispatcher.leave(server: ServerEntry, nowMillis: Long) =
            onStatement(server, ServerStatement(isLeaving = true), nowMillis)

        fun Dispatcher.pause(server: ServerEntry, pauseMillis: Long, nowMillis: Long) =
            onStatement(server, ServerStatement(pauseMillis = pauseMillis), nowMillis)

        fun Dispatcher.submitAt(nowMillis: Long, targetMillis: Long = nowMillis + 600) =
            submit(
                request(nowMillis, arrivedMillis = nowMillis, targetMillis = targetMillis),
                nowMillis,
            )

        fun List<DispatchEffect>.servers() =
            filterIsInstance<DispatchEffect.Assign>().map { it.server.id }

        fun List<DispatchEffect>.refusal() = single() as DispatchEffect.Refuse

        val a = server("a", slots = 9)
        val b = server("b", slots = 1)

        test("given a server that is leaving, then another one gets the requests") {
            val dispatcher = dispatcher(a, b)

            dispatcher.leave(a, nowMillis = 10)

            dispatcher.submitAt(20).servers() shouldBe listOf("b")
            dispatcher.submitAt(30).servers() shouldBe emptyList()
        }

        // Guards against a list that brings back a server which has said that it is leaving.
        test("given a list that is read again, then a leaving server stays unused") {
            val dispatcher = dispatcher(a)
            dispatcher.leave(a, nowMillis = 0)
            dispatcher.onServers(emptyList(), nowMillis = 100)
            dispatcher.onServers(listOf(a), nowMillis = 200)

            dispatcher.submitAt(DRAIN_MILLIS).refusal().reason shouldBe DispatchRefusal.NO_SERVER
        }

        test("given a leaving server that has started again, then it is used") {
            val dispatcher = dispatcher(a)
            dispatcher.leave(a, nowMillis = 0)

            dispatcher.onServers(listOf(a.copy(startedMillis = 7)), nowMillis = 5_000)

            dispatcher.submitAt(5_010).servers() shouldBe listOf("a")
        }

        // Guards against refusing requests that the last server of a pool can still take.
        test("given only a leaving server, then it is used within the bound and not later") {
            val dispatcher = dispatcher(a)
            dispatcher.leave(a, nowMillis = 0)
            dispatcher.leave(a, nowMillis = 1_500)

            dispatcher.submitAt(DRAIN_MILLIS - 1).servers() shouldBe listOf("a")
            dispatcher.submitAt(DRAIN_MILLIS).refusal().reason shouldBe DispatchRefusal.NO_SERVER
        }

        // Guards against a queued request that gets a slot of a leaving server after the bound.
        test("given a queued request, then it does not get a leaving server after the bound") {
            val dispatcher = dispatcher(b)
            dispatcher.submitAt(0)
            dispatcher.submitAt(1_990, targetMillis = 4_000) shouldBe emptyList()
            dispatcher.leave(b, nowMillis = 0)

            val effects =
                dispatcher.onFinished(
                    finished(b, ServerOutcome.Answered(50.0, 100.0, 1_000.0, 0)),
                    nowMillis = DRAIN_MILLIS + 10,
                )

            effects.servers() shouldBe emptyList()
            effects.refusal().reason shouldBe DispatchRefusal.NO_SERVER
        }

        test("given a server that wants a pause, then it gets nothing until its end") {
            val dispatcher = dispatcher(a, b)
            dispatcher.pause(a, pauseMillis = 3_000, nowMillis = 0)
            dispatcher.pause(a, pauseMillis = 1_000, nowMillis = 500)

            dispatcher.submitAt(100).servers() shouldBe listOf("b")
            dispatcher.submitAt(2_900, targetMillis = 9_000).servers() shouldBe emptyList()
            dispatcher.serveQueues(nowMillis = 2_999).servers() shouldBe emptyList()
            dispatcher.serveQueues(nowMillis = 3_000).servers() shouldBe listOf("a")
        }

        // Guards against a refusal that does not tell when the pool is back.
        test("given servers that all pause, then a refusal tells when the first is back") {
            val dispatcher = dispatcher(a, b)
            dispatcher.pause(a, pauseMillis = 5_000, nowMillis = 0)
            dispatcher.pause(b, pauseMillis = 4_000, nowMillis = 0)

            val refusal = dispatcher.submitAt(1_000).refusal()

            refusal.reason shouldBe DispatchRefusal.PAUSED
            refusal.retryAfterMillis shouldBe 3_000
        }

        test("given a pause that ends before the target, then the request waits for it") {
            val dispatcher = dispatcher(a)
            dispatcher.pause(a, pauseMillis = 300, nowMillis = 0)

            dispatcher.submitAt(10) shouldBe emptyList()
            dispatcher.serveQueues(nowMillis = 290) shouldBe emptyList()
            dispatcher.serveQueues(nowMillis = 300).servers() shouldBe listOf("a")
        }

        // Guards against a whole queue that reaches a server at the end of its pause.
        test("given the end of a pause, then the slots of the server are used gradually") {
            val dispatcher = dispatcher(server("c", slots = 10))
            dispatcher.pause(server("c"), pauseMillis = 1_000, nowMillis = 0)

            val sent =
                (1_000L until 1_500L step 10).sumOf { atMillis ->
                    dispatcher.submitAt(atMillis, targetMillis = 90_000).servers().size
                }

            sent shouldBeLessThanOrEqualTo 5
            (1_500L..2_100L step 10).sumOf {
                dispatcher.serveQueues(nowMillis = it).servers().size
            } shouldBe 10 - sent
        }
    })
