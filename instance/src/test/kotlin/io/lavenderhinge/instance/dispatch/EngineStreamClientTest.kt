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
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
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
        suspend fun generate(engine: ScriptedBackendServer): Pair<StreamOutcome, List<String>> {
            val delivered = mutableListOf<String>()
            val address = InetSocketAddress("127.0.0.1", engine.port)
            val outcome =
                client.generate(address, "a1", "7", ByteArray(0), StreamObservation()) {
                    delivered += it
                }
            engine.close()
            return outcome to delivered
        }

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
    })
