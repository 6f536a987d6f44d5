package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.toImmutableList

class PrefixAffinityTest :
    FunSpec({
        var own = 0

        fun parts(session: String) =
            listOf(
                PromptPart("system", 500),
                PromptPart(session, 3_000),
                PromptPart("own-${own++}", 500),
            )

        val servers = List(6) { server("s-$it", slots = 8) }

        fun dispatcher() = Dispatcher("d").also { it.onServers(servers, nowMillis = 0) }

        /** Returns the server that gets [request], and releases its slot. */
        fun Dispatcher.serverFor(request: DispatchRequest): String {
            val nowMillis = request.id
            val assigned = submit(request, nowMillis).single() as DispatchEffect.Assign
            val server = assigned.server
            val tokens = assigned.uncachedTokens
            val attempt =
                finished(server, ServerOutcome.Inconclusive, tokens, isPromptPending = true)
            onFinished(attempt, nowMillis)
            return server.id
        }

        /** Teaches [dispatcher] that reading a prompt takes time. */
        fun train(dispatcher: Dispatcher) =
            (0L..40L).forEach { number ->
                val tokens = 500.0 + number % 5 * 1_000
                val effects = dispatcher.submit(request(number, promptTokens = tokens), 0)
                val assigned = effects.single() as DispatchEffect.Assign
                val outcome = ServerOutcome.Answered(20 + tokens / 50, 200.0, tokens, 0)
                val attempt = finished(assigned.server, outcome, tokens, isPromptPending = true)
                dispatcher.onFinished(attempt, nowMillis = 0)
            }

        fun sessionRequest(id: Long, session: String) =
            request(id, promptTokens = 4_000.0).copy(promptParts = parts(session).toImmutableList())

        // Guards against reading a shared part on one server after the other.
        test("given requests that share a part, then they go to the same server") {
            val dispatcher = dispatcher()
            train(dispatcher)

            val used = (100L..104L).map { dispatcher.serverFor(sessionRequest(it, "session")) }

            used.distinct().size shouldBe 1
        }

        // Guards against instances that know nothing of each other and read a part on each
        // server of the pool.
        test("given two instances, then both prefer the same server for a shared part") {
            val one = dispatcher().also(::train)
            val other = dispatcher().also(::train)

            val agreed =
                (0..49).count { number ->
                    val session = "session-$number"
                    val id = 100L + number
                    val request = sessionRequest(id, session)
                    one.serverFor(request) == other.serverFor(request)
                }

            agreed shouldBeGreaterThan 25
        }

        test("given many shared parts, then they spread over the servers") {
            val records = servers.map(::ServerRecord)
            val affinity = PrefixAffinity()

            val firsts =
                (0 until 600).map { affinity.preference(parts("$it"), records)?.serverIds?.first() }

            firsts
                .groupingBy { it }
                .eachCount()
                .values
                .forEach {
                    it shouldBeGreaterThan 60
                    it shouldBeLessThan 150
                }
        }

        // Guards against preferring a server that lost its cache.
        test("given a part that was not sent, then the parts after it do not count as cached") {
            val sent = PrefixAffinity.SentParts()
            sent.add(listOf(PromptPart("a", 10), PromptPart("c", 30)), nowMillis = 0)

            val prompt = listOf(PromptPart("a", 10), PromptPart("b", 20), PromptPart("c", 30))

            sent.cachedTokens(prompt, nowMillis = 100) shouldBe 10
            sent.cachedTokens(prompt, nowMillis = 60_000) shouldBe 0
        }
    })
