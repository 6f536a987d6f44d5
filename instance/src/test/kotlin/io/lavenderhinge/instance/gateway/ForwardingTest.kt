package io.lavenderhinge.instance.gateway

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.answer
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ServerAction.AwaitClose
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

private const val NOT_EXECUTED = "X-Lavenderhinge-Not-Executed: 1\r\n"

class ForwardingTest :
    FunSpec({
        suspend fun <T> withGateway(
            vararg servers: ScriptedBackendServer,
            use: suspend (GatewayHarness) -> T,
        ): T =
            try {
                GatewayHarness(*servers).use { use(it) }
            } finally {
                servers.forEach { it.close() }
            }

        fun serverAnswering(body: String = "ok", status: String = "200 OK") =
            ScriptedBackendServer {
                Send(answer(it, status, body))
            }

        fun event(id: Int) = "id: $id\ndata: e$id\n\n"

        test("given a request, then the server gets it unchanged with the fields of the system") {
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

        test("given fields that only the system may set, then those of a client are dropped") {
            val server = serverAnswering()
            val fields = mapOf("X-Lavenderhinge-Hold" to "1", "X-Lavenderhinge-Tenant" to "other")

            withGateway(server) { it.call("/look/1", fields = fields) }

            server.requests.single() shouldNotContain "X-Lavenderhinge-Hold"
            server.requests.single() shouldContain "X-Lavenderhinge-Tenant: w"
        }

        test("given a server that states that it did not run a booking, then another gets it") {
            val full = ScriptedBackendServer { Send(answer(it, "503 Full", "", NOT_EXECUTED)) }
            val other = serverAnswering()

            val responses =
                withGateway(full, other) { gateway ->
                    List(4) { gateway.call("/book/$it", body = "b", id = "r$it").status }
                }

            responses shouldBe List(4) { 200 }
        }

        // Guards against a booking that runs twice.
        test("given a booking whose answer is lost, then it is not sent again") {
            val first = ScriptedBackendServer { SendAndClose("") }
            val second = ScriptedBackendServer { SendAndClose("") }

            val response = withGateway(first, second) { it.call("/book/1", body = "b") }

            response.status shouldBe 502
            first.requests.size + second.requests.size shouldBe 1
        }

        // Guards against telling that a booking has not run although it may have.
        test("given a 503 without proof, then the client of a booking does not get it") {
            val server = serverAnswering(status = "503 Busy")

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        test("given a lookup whose answer is lost, then another server answers it") {
            val broken = ScriptedBackendServer { SendAndClose("HTTP/1.1 200 OK\r\nContent-Le") }
            val sound = serverAnswering()

            val statuses =
                withGateway(broken, sound) { gateway ->
                    List(3) { gateway.call("/look/$it", id = "r$it").status }
                }

            statuses shouldBe List(3) { 200 }
        }

        // Guards against a caller that gets the late second answer to an earlier request.
        test("given a second answer to an earlier request, then it reaches nobody") {
            var isFirst = true
            val server = ScriptedBackendServer { request ->
                val own = answer(request, "200 OK", "own")
                val stale = answer("X-Lavenderhinge-Request-Id: old", "200 OK", "stale")
                if (isFirst) Send(own).also { isFirst = false } else Send(stale + own)
            }

            val bodies =
                withGateway(server) { gateway ->
                    List(2) { String(gateway.call("/book/$it", body = "b", id = "r$it").body) }
                }

            bodies shouldBe listOf("own", "own")
        }

        test("given a success without the signature of a server, then it is not passed on") {
            val server = ScriptedBackendServer {
                Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }

            withGateway(server) { it.call("/book/1", body = "b") }.status shouldBe 502
        }

        // Guards against half an event, a lost one or one that comes twice.
        test("given a resumable stream that breaks inside an event, then it goes on elsewhere") {
            val requests = mutableListOf<String>()
            val script = { request: String ->
                requests += request
                if ("Last-Event-Id" in request) {
                    Send(streamHead(request) + chunk(event(2) + event(3)) + chunk(""))
                } else {
                    SendAndClose(streamHead(request) + chunk(event(1)) + chunk("id: 2\nda"))
                }
            }

            val response =
                withGateway(ScriptedBackendServer(script), ScriptedBackendServer(script)) {
                    it.call("/draft/1", body = "p")
                }

            String(response.body) shouldBe event(1) + event(2) + event(3)
            requests shouldHaveSize 2
            requests.last() shouldContain "Last-Event-Id: 1"
        }

        test(
            "given a stream that may not be resumed, when it breaks, then it does not look whole"
        ) {
            val server = ScriptedBackendServer { SendAndClose(streamHead(it) + chunk(event(1))) }
            val other = ScriptedBackendServer { SendAndClose(streamHead(it) + chunk(event(1))) }

            shouldThrow<HttpCallException.OutcomeUnknown> {
                withGateway(server, other) { it.call("/digest/1", body = "p") }
            }
            server.requests.size + other.requests.size shouldBe 1
        }

        // Guards against servers that go on working for callers that have left.
        test("given a caller that leaves, then the connection to its server is closed") {
            val server = ScriptedBackendServer { AwaitClose }

            withGateway(server) { gateway ->
                withTimeoutOrNull(300) { gateway.call("/digest/1", body = "p") } shouldBe null
                server.closedByPeer.await(2, TimeUnit.SECONDS) shouldBe true
            }
        }

        // The line of a request tells from its id which servers it was sent to and why it failed.
        test("given the id of a failed request, then its log line tells the cause") {
            val logger = LoggerFactory.getLogger(RequestLog::class.java) as Logger
            val lines = ListAppender<ILoggingEvent>().apply { start() }
            logger.addAppender(lines)

            withGateway(ScriptedBackendServer { SendAndClose("") }) {
                it.call("/book/1", body = "b", id = "x7")
            }

            val line = lines.list.single { "request=\"x7\"" in it.keyValuePairs.toString() }
            val pairs = line.keyValuePairs.associate { it.key to it.value }
            pairs["status"] shouldBe 502
            pairs["failure"] shouldBe "lost"
            pairs["configuration"] shouldBe 3L
            pairs["sends"].toString() shouldContain "sent to i-0"
            pairs["sends"].toString() shouldContain "lost: the server closed the connection"
        }
    })
