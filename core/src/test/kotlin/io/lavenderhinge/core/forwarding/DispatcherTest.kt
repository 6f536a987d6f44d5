package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class DispatcherTest :
    FunSpec({
        fun dispatcher(vararg servers: ServerEntry) =
            Dispatcher("d").also { it.onServers(servers.toList(), nowMillis = 0) }

        fun answered(firstEventMillis: Double = 50.0, holdMillis: Double = 100.0) =
            ServerOutcome.Answered(firstEventMillis, holdMillis, promptTokens = 1_000.0, events = 0)

        fun Dispatcher.finish(
            server: ServerEntry,
            outcome: ServerOutcome = answered(),
            nowMillis: Long = 100,
        ) = onFinished(finished(server, outcome), nowMillis)

        fun List<DispatchEffect>.assigned() =
            filterIsInstance<DispatchEffect.Assign>().map { it.requestId to it.server.id }

        test("given a free slot, then a request is assigned to it immediately") {
            val dispatcher = dispatcher(server("a"))

            dispatcher.submit(request(1), nowMillis = 0).assigned() shouldBe listOf(1L to "a")
        }

        // Guards against queueing at a server: servers process requests without priorities, so a
        // server must not get more requests than it has slots.
        test("given full slots, when one is released, then the most urgent request gets it") {
            val dispatcher = dispatcher(server("a", slots = 1))
            dispatcher.submit(request(1), nowMillis = 0)
            dispatcher.submit(request(2, priority = 5), nowMillis = 1) shouldBe emptyList()
            dispatcher.submit(request(3, priority = 1), nowMillis = 2) shouldBe emptyList()

            dispatcher.finish(server("a")).assigned() shouldBe listOf(3L to "a")
        }

        // Guards against strict FIFO order, which makes every request late once the queueing delay
        // exceeds the target.
        test("given a request that is already late, then one that can be on time goes first") {
            val dispatcher = dispatcher(server("a", slots = 1))
            dispatcher.submit(request(1), nowMillis = 0)
            dispatcher.submit(request(2, arrivedMillis = 0, targetMillis = 600), nowMillis = 0)
            dispatcher.submit(
                request(3, arrivedMillis = 700, targetMillis = 1_300),
                nowMillis = 700,
            )

            dispatcher.finish(server("a"), nowMillis = 800).assigned() shouldBe listOf(3L to "a")
        }

        test("given slots that a peer uses, then they are not assigned again") {
            val dispatcher = dispatcher(server("a", slots = 2))
            val report = LoadReport(mapOf("a" to ServerUse(inFlight = 2, 0.0)), emptyMap())
            dispatcher.onPeerReport("p", report, nowMillis = 0)

            dispatcher.submit(request(1), nowMillis = 10) shouldBe emptyList()
        }

        test("given a peer that stops reporting, then its slots are free after the expiry time") {
            val dispatcher = dispatcher(server("a", slots = 1))
            val report = LoadReport(mapOf("a" to ServerUse(inFlight = 1, 0.0)), emptyMap())
            dispatcher.onPeerReport("p", report, nowMillis = 0)
            dispatcher.submit(request(1), nowMillis = 10)

            dispatcher.serveQueues(nowMillis = 1_300).assigned() shouldBe listOf(1L to "a")
        }

        // Guards against a less urgent local request taking the slot that a peer needs for a more
        // urgent one.
        test("given more urgent requests at a peer, then the last free slots are left to them") {
            val dispatcher = dispatcher(server("a", slots = 2))
            val waiting = mapOf(QueueKey("s", priority = 0) to QueueState(2, 0, isHeadLate = false))
            dispatcher.onPeerReport("p", LoadReport(emptyMap(), waiting), nowMillis = 0)

            dispatcher.submit(request(1, priority = 3), nowMillis = 10) shouldBe emptyList()
            dispatcher.submit(request(2, priority = 0), nowMillis = 10).assigned() shouldBe
                listOf(2L to "a")
        }

        // Guards against starvation of peers by an instance that reuses its slots indefinitely.
        test("given an older request of the same priority at a peer, then it goes first") {
            val dispatcher = dispatcher(server("a", slots = 1))
            val older = QueueState(count = 1, headWaitMillis = 500, isHeadLate = false)
            val waiting = mapOf(QueueKey("s", priority = 0) to older)
            dispatcher.onPeerReport("p", LoadReport(emptyMap(), waiting), nowMillis = 0)

            dispatcher.submit(request(1), nowMillis = 10) shouldBe emptyList()

            dispatcher
                .onPeerReport("p", LoadReport(emptyMap(), emptyMap()), nowMillis = 20)
                .assigned() shouldBe listOf(1L to "a")
        }

        test("given a draining server, then it gets no new requests") {
            val dispatcher = dispatcher(server("a", acceptsWork = false), server("b"))

            dispatcher.submit(request(1), nowMillis = 0).assigned() shouldBe listOf(1L to "b")
        }

        test("given a server that fails repeatedly, then it is ejected") {
            val dispatcher = dispatcher(server("a", slots = 4), server("b", slots = 4))
            repeat(3) {
                val first =
                    dispatcher.submit(request(it.toLong()), nowMillis = 0).assigned().single()
                val outcome = if (first.second == "a") ServerOutcome.Failed else answered()
                dispatcher.finish(server(first.second, slots = 4), outcome, nowMillis = 0)
            }
            repeat(3) { dispatcher.finish(server("a", slots = 4), ServerOutcome.Failed, 0) }

            val next =
                (10L..13L).flatMap { dispatcher.submit(request(it), nowMillis = 10).assigned() }

            next.map { it.second }.toSet() shouldBe setOf("b")
        }

        test("given only ejected servers, then they are used anyway") {
            val dispatcher = dispatcher(server("a", slots = 4))
            repeat(3) { dispatcher.finish(server("a", slots = 4), ServerOutcome.Failed, 0) }

            dispatcher.submit(request(1), nowMillis = 10).assigned() shouldBe listOf(1L to "a")
        }

        // Guards against a long response on a slow server that is cut off at its deadline.
        test("given a long response, then it waits for a fast server instead of using a slow one") {
            val slow = server("slow", slots = 2)
            val fast = server("fast", slots = 1)
            val dispatcher = dispatcher(slow, fast)
            dispatcher.submit(request(1), nowMillis = 0)
            dispatcher.submit(request(2), nowMillis = 0)
            val learned = { gapMillis: Double ->
                ServerOutcome.Answered(50.0, 50.0 + 20 * gapMillis, 1_000.0, events = 21)
            }
            dispatcher.finish(slow, learned(100.0), nowMillis = 0)
            dispatcher.finish(fast, learned(10.0), nowMillis = 0)
            val long = { id: Long -> request(id, expectedEvents = 300.0, deadlineMillis = 10_010) }

            dispatcher.submit(long(3), nowMillis = 10).assigned() shouldBe listOf(3L to "fast")
            dispatcher.submit(long(4), nowMillis = 10) shouldBe emptyList()
        }

        // Guards against long prompts that are served only when no shorter one is queued.
        test("given a long prompt that takes most of its target, then it is not late on arrival") {
            val dispatcher = dispatcher(server("a", slots = 1))
            List(8) { if (it % 2 == 0) 100.0 else 8_000.0 }
                .forEachIndexed { index, tokens ->
                    dispatcher.submit(request(index.toLong(), promptTokens = tokens), nowMillis = 0)
                    val outcome = ServerOutcome.Answered(tokens / 20, tokens / 20, tokens, 0)
                    val attempt = finished(server("a"), outcome, tokens, isPromptPending = true)
                    dispatcher.onFinished(attempt, nowMillis = 0)
                }
            dispatcher.submit(request(20), nowMillis = 0)
            dispatcher.submit(request(21, arrivedMillis = 0, promptTokens = 8_000.0), 0)
            dispatcher.submit(request(22, arrivedMillis = 10, promptTokens = 100.0), 10)

            dispatcher.finish(server("a"), nowMillis = 50).assigned() shouldBe listOf(21L to "a")
        }

        test("given a queue longer than a request can wait, then it is rejected on arrival") {
            val dispatcher = dispatcher(server("a", slots = 1))
            dispatcher.submit(request(0), nowMillis = 0)
            dispatcher.finish(server("a"), answered(holdMillis = 1_000.0), nowMillis = 1_000)
            (1L..6L).forEach {
                dispatcher.submit(request(it, arrivedMillis = 1_000), nowMillis = 1_000)
            }

            val effect =
                dispatcher.submit(request(7, arrivedMillis = 1_000), nowMillis = 1_000).single()

            effect.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.OVERLOAD
        }

        test("given no server of the service, then the request is rejected as retryable") {
            val effect = dispatcher().submit(request(1), nowMillis = 0).single()

            effect.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.NO_SERVER
        }

        // Guards against sending requests to a hung server: its requests time out only after more
        // than a second.
        test("given a server that sends no data, then new requests go to another one") {
            val dispatcher = dispatcher(server("a", slots = 5), server("b", slots = 5))
            val silent = dispatcher.submit(request(1), nowMillis = 0).assigned().single().second
            val other = if (silent == "a") "b" else "a"
            repeat(3) { dispatcher.submit(request(2L + it), nowMillis = 10) }
            dispatcher.onActivity(server(other), sentMillis = 0, nowMillis = 390)

            val later = dispatcher.submit(request(9), nowMillis = 400).assigned()

            later shouldBe listOf(9L to other)
        }

        test("given a server that sends events, then it is not considered silent") {
            val dispatcher = dispatcher(server("a", slots = 5))
            dispatcher.submit(request(1), nowMillis = 0)
            dispatcher.onActivity(server("a"), sentMillis = 0, nowMillis = 380)

            dispatcher.submit(request(2), nowMillis = 400).assigned() shouldBe listOf(2L to "a")
        }
    })
