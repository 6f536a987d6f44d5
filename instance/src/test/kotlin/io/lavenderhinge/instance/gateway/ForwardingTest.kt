package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.unframed
import io.lavenderhinge.instance.gateway.ServerAction.AwaitClose
import io.lavenderhinge.instance.gateway.ServerAction.Flood
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import io.lavenderhinge.instance.gateway.ServerAction.SendAndReset
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val NOT_EXECUTED = "X-Lavenderhinge-Not-Executed: 1\r\n"

/** Guards against requests that are altered, executed twice or answered wrongly if servers fail. */
class ForwardingTest :
    FunSpec({
        test("given a request, then the server receives it unchanged with the gateway fields") {
            val server = serverAnswering()

            val response = withGateway(server) { it.call("/book/1", body = "text") }

            response.status shouldBe 200
            String(response.body) shouldBe "ok"
            val request = server.requests.single()
            request shouldContain "POST /book/1?q=1 HTTP/1.1"
            request shouldContain "X-Lavenderhinge-Request-Id: r1"
            request shouldContain "X-Lavenderhinge-Tenant: w"
            request shouldContain "X-Lavenderhinge-Expected-Instance: i-0"
            request shouldContain "Host: h\r\n"
            request shouldNotContain "X-Lavenderhinge-Key"
            request.substringAfter("\r\n\r\n") shouldBe "text"
        }

        test("given reserved header fields, then those of the client are dropped") {
            val server = serverAnswering()
            val fields = mapOf("X-Lavenderhinge-Hold" to "1", "X-Lavenderhinge-Tenant" to "other")

            withGateway(server) { it.call("/look/1", fields = fields) }

            server.requests.single() shouldNotContain "X-Lavenderhinge-Hold"
            server.requests.single() shouldContain "X-Lavenderhinge-Tenant: w"
        }

        test("given a server that did not execute a booking, then another server receives it") {
            val full = ScriptedBackendServer { Send(rawResponse(it, "503 Full", "", NOT_EXECUTED)) }
            val other = serverAnswering()

            val responses =
                withGateway(full, other) { gateway ->
                    List(4) { gateway.call("/book/$it", body = "b", id = "r$it").status }
                }

            responses shouldBe List(4) { 200 }
        }

        // Guards against executing a booking twice.
        test("given a booking whose response is lost, then it is not retried") {
            val first = ScriptedBackendServer { SendAndClose("") }
            val second = ScriptedBackendServer { SendAndClose("") }

            val response = withGateway(first, second) { it.call("/book/1", body = "b") }

            response.status shouldBe 502
            first.requests.size + second.requests.size shouldBe 1
        }

        // Guards against reporting that a booking was not executed although it may have been.
        test(
            "given a 503 without proof of no execution, then a booking client does not receive it"
        ) {
            val server = serverAnswering(status = "503 Busy")

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        test("given a lookup whose response is lost, then another server answers it") {
            val broken = ScriptedBackendServer { SendAndClose("HTTP/1.1 200 OK\r\nContent-Le") }
            val sound = serverAnswering()

            val statuses =
                withGateway(broken, sound) { gateway ->
                    List(3) { gateway.call("/look/$it", id = "r$it").status }
                }

            statuses shouldBe List(3) { 200 }
        }

        // Guards against delivering a late duplicate response of an earlier request to a client.
        test("given a duplicate response to an earlier request, then no client receives it") {
            var isFirst = true
            val server = ScriptedBackendServer { request ->
                val own = rawResponse(request, "200 OK", "own")
                val stale = rawResponse("X-Lavenderhinge-Request-Id: old", "200 OK", "stale")
                if (isFirst) Send(own).also { isFirst = false } else Send(stale + own)
            }

            val bodies =
                withGateway(server) { gateway ->
                    List(2) { String(gateway.call("/book/$it", body = "b", id = "r$it").body) }
                }

            bodies shouldBe listOf("own", "own")
        }

        test("given a success response without a server signature, then it is not forwarded") {
            val server = ScriptedBackendServer {
                Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        // Guards against memory that is filled by a body or an event without an end.
        test("given a server whose body has no end, then the client gets an error") {
            val endless = ScriptedBackendServer { request ->
                val head = rawResponse(request, "200 OK", "").replace("Content-Length: 0\r\n", "")
                Flood(head, "x".repeat(65_536))
            }

            withGateway(endless) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        test("given a server whose head has no end, then the client gets an error") {
            val endless = ScriptedBackendServer {
                Flood("HTTP/1.1 200 OK\r\n", "A: ${"x".repeat(1_000)}\r\n")
            }

            withGateway(endless) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        // Guards against answers that are taken for broken ones because they state no length.
        test("given an answer that ends with its connection, then the client gets it whole") {
            val server = ScriptedBackendServer {
                SendAndClose(unframed(rawResponse(it, "200 OK", "all of it")))
            }

            val response = withGateway(server) { it.call("/book/1", body = "b") }

            response.status shouldBe 200
            String(response.body) shouldBe "all of it"
        }

        // Guards against a broken answer that passes for a whole one, since it states no length.
        test("given an answer without a length that is reset, then the client gets an error") {
            val server = ScriptedBackendServer {
                SendAndReset(unframed(rawResponse(it, "200 OK", "half of")))
            }

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        /** A server that is down from the first request with the prompt part `bad` on. */
        fun crashingServer(crashingRequests: AtomicInteger): ScriptedBackendServer {
            lateinit var server: ScriptedBackendServer
            server = ScriptedBackendServer { request ->
                if (",bad:" in request) {
                    crashingRequests.incrementAndGet()
                    server.close()
                }
                Send(streamHead(request) + chunk(event(1)) + chunk(""))
            }
            return server
        }

        // Guards against servers that are crashed one after the other by one prompt part.
        test("given servers that crash under a prompt part, then it is soon refused") {
            val crashingRequests = AtomicInteger()
            val servers = List(8) { crashingServer(crashingRequests) }
            suspend fun GatewayHarness.draft(parts: String, id: String): HttpResponse =
                call(
                    "/draft/1",
                    body = "p",
                    id = id,
                    fields = mapOf("X-Lavenderhinge-Prompt-Prefix" to parts),
                )

            val responses =
                withGateway(*servers.toTypedArray()) { gateway ->
                    gateway.draft("app:60,s1:9,own:5", "r0")
                    val refused =
                        List(4) {
                            delay(300)
                            gateway.draft("app:60,bad:9,own$it:5", "r$it")
                        }
                    refused + gateway.draft("app:60,s2:9,own:5", "r9")
                }

            crashingRequests.get() shouldBe 3
            responses.map { it.status } shouldBe listOf(502, 502, 503, 503, 200)
            (responses[2].header("Retry-After") != null) shouldBe true
        }

        // Guards against a body that a faulty server encoded, which is not what the client asked
        // for.
        test("given a response with an encoding, then it is not forwarded as a success") {
            val server = ScriptedBackendServer {
                Send(rawResponse(it, "200 OK", "ok", "Content-Encoding: gzip\r\n"))
            }

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        // Guards against servers that keep working for disconnected clients.
        test("given a client that disconnects, then the connection to its server is closed") {
            val server = ScriptedBackendServer { AwaitClose }

            withGateway(server) { gateway ->
                withTimeoutOrNull(300) { gateway.call("/digest/1", body = "p") } shouldBe null
                server.closedByPeer.await(2, TimeUnit.SECONDS) shouldBe true
            }
        }
    })
