package io.lavenderhinge.instance.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.lavenderhinge.adapters.CallFault
import io.lavenderhinge.adapters.JsonClient
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.instance.dispatch.EngineStreamClient
import io.lavenderhinge.instance.dispatch.StreamObservation
import io.lavenderhinge.instance.dispatch.StreamOutcome
import io.lavenderhinge.instance.dispatch.ownResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.unframed
import io.lavenderhinge.instance.gateway.ServerAction
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndReset
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress

/** The buffers of a connection hold up to 4 MB, by the usual limit of Linux, and 64 KB. */
private const val LONG_UPLOAD_BYTES = 12_000_000

private const val DONE = "data: [DONE]\n\n"

/** An answer to a request: [read] for one that was read, [unread] for one that is not. */
private data class Broken(
    val name: String,
    val read: (request: String) -> ServerAction,
    val unread: (head: String) -> ServerAction? = { null },
)

private fun resetAnswer(request: String) =
    SendAndReset(unframed(ownResponse(request, "id: 0\ndata: e0\n\n")))

private val brokenAnswers =
    listOf("000", "099", "600", "999").map { status ->
        Broken("an answer with status $status", { Send(ownResponse(it, "{}", "$status Trouble")) })
    } +
        Broken("an answer without a length that is reset", ::resetAnswer) +
        Broken("such an answer to a request that it does not read", ::resetAnswer, ::resetAnswer)

/** Guards against broken answers that pass for answers on the own interface. */
class BrokenServiceAnswerTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully() }

        fun addressOf(server: ScriptedBackendServer) = InetSocketAddress("127.0.0.1", server.port)

        /** A server that answers the first request on `/first` soundly. */
        fun serverWith(broken: Broken) =
            ScriptedBackendServer {
                    if ("/first" in it) Send(ownResponse(it, "{}")) else broken.read(it)
                }
                .apply { onHead = { if ("/first" in it) null else broken.unread(it) } }

        context("given a broken answer to a service call, then it is lost and not sent again") {
            withData(nameFn = { it.name }, brokenAnswers) { broken ->
                val server = serverWith(broken)
                val client = HttpClient(group)
                val fixture = ServiceCallFixture(server.port)

                suspend fun call(path: String, id: String): ServiceCallOutcome {
                    val body = ByteArray(LONG_UPLOAD_BYTES)
                    val request = HttpRequest("POST", path, "", DefaultHttpHeaders(), body)
                    val context = fixture.context(id, isIdempotent = true)
                    return ServiceCall(fixture.services, client, request, context).dispatch()
                }
                val outcome =
                    server.use {
                        call("/first", "a1")
                        call("/second", "a2")
                    }

                outcome.shouldBeInstanceOf<ServiceCallOutcome.Lost>()
                server.requests.size shouldBe 2
                server.connectionCount shouldBe 1
            }
        }

        context("given a broken answer to a JSON call, then its outcome is unknown") {
            withData(nameFn = { it.name }, brokenAnswers) { broken ->
                val server = serverWith(broken)
                val client = JsonClient(HttpClient(group), addressOf(server), CallTimeouts())

                val result =
                    server.use {
                        client.call("GET", "/first")
                        client.call("PUT", "/second", body = ByteArray(LONG_UPLOAD_BYTES))
                    }

                result.leftOrNull().shouldBeInstanceOf<CallFault.Unknown>()
                server.requests.size shouldBe 2
                server.connectionCount shouldBe 1
            }
        }

        // The engine may run the generation, so it is resumed and not sent a second time.
        context("given a broken answer to a generation, then the stream is resumed") {
            withData(nameFn = { it.name }, brokenAnswers) { broken ->
                val stream = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n$DONE"
                val server =
                    ScriptedBackendServer {
                            if ("GET" in it) Send(ownResponse(it, stream)) else broken.read(it)
                        }
                        .apply { onHead = { if ("GET" in it) null else broken.unread(it) } }
                val delivered = mutableListOf<String>()

                val outcome =
                    server.use {
                        EngineStreamClient(HttpClient(group)).generate(
                            addressOf(it),
                            "a1",
                            "7",
                            ByteArray(LONG_UPLOAD_BYTES),
                            StreamObservation(),
                        ) { data ->
                            delivered += data
                        }
                    }

                outcome shouldBe StreamOutcome.Complete
                delivered shouldBe listOf("e0", "e1")
                server.requests.count { "POST" in it } shouldBe 1
            }
        }
    })
