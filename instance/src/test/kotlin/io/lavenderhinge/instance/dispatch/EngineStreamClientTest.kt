package io.lavenderhinge.instance.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.instance.gateway.ScriptedBackendServer
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.unframed
import io.lavenderhinge.instance.gateway.ServerAction
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress

class EngineStreamClientTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val client = EngineStreamClient(HttpClient(group))
        afterSpec { group.shutdownGracefully() }

        val done = "data: [DONE]\n\n"

        fun event(index: Int) = "id: $index\ndata: e$index\n\n"

        /** Returns the outcome and the delivered data of a stream of an engine with [script]. */
        suspend fun generateAs(
            attemptId: String,
            engine: ScriptedBackendServer,
        ): Pair<StreamOutcome, List<String>> {
            val delivered = mutableListOf<String>()
            val address = InetSocketAddress("127.0.0.1", engine.port)
            val outcome =
                client.generate(address, attemptId, "7", ByteArray(0), StreamObservation()) {
                    delivered += it
                }
            return outcome to delivered
        }

        suspend fun generate(engine: ScriptedBackendServer): Pair<StreamOutcome, List<String>> =
            engine.use { generateAs("a1", it) }

        fun engine(script: (request: String) -> ServerAction) = ScriptedBackendServer(script)

        // Guards against answers that are taken for broken ones because they state no length.
        test("given a stream that ends with its connection, then it is complete") {
            val engine = engine { SendAndClose(unframed(streamHead(it)) + event(0) + done) }

            generate(engine) shouldBe (StreamOutcome.Complete to listOf("e0"))

            engine.requests shouldHaveSize 1
        }

        // Guards against a broken answer that passes for a whole one, since it states no length.
        test("given a stream that ends within an event, then it is resumed after the last one") {
            val engine = engine { request ->
                val head = unframed(streamHead(request))
                if ("GET" in request) SendAndClose(head + event(1) + done)
                else SendAndClose(head + event(0) + "id: 1\nda")
            }

            generate(engine) shouldBe (StreamOutcome.Complete to listOf("e0", "e1"))

            engine.requests.last() shouldContain "from=1"
        }

        // Guards against the stream of one caller that another caller gets.
        listOf(true, false).forEach { repeatsId ->
            val name = if (repeatsId) "repeats ids" else "does not repeat ids"
            test("given an engine that $name and answers twice, then streams are not mixed") {
                val engine = engine { request ->
                    val data = "id: 0\ndata: of ${requestIdOf(request)}\n\n"
                    SendTwice(ownResponse(request, data + done, repeatsId = repeatsId))
                }

                val streams = engine.use { List(4) { number -> generateAs("a$number", it) } }

                streams shouldBe List(4) { StreamOutcome.Complete to listOf("of a$it") }
            }
        }

        // Guards against a generation that is sent elsewhere although the engine runs it.
        test("given a refusal that comes twice, when sent again, then it is not refused again") {
            var requests = 0
            val engine = engine { request ->
                if (requests++ == 0) SendTwice(ownResponse(request, "", "429 Full"))
                else Send(ownResponse(request, event(0) + done))
            }

            val outcomes = engine.use { List(2) { _ -> generateAs("a1", it).first } }

            outcomes shouldBe listOf(StreamOutcome.Refused(429, false), StreamOutcome.Complete)
        }

        // Guards against a new connection for each generation.
        test("given answers with their id, then the connection is kept") {
            val engine = engine { Send(ownResponse(it, event(0) + done)) }

            engine.use { repeat(3) { number -> generateAs("a$number", it) } }

            engine.connectionCount shouldBe 1
        }
    })
