package io.lavenderhinge.instance.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.unframed
import io.lavenderhinge.instance.gateway.ServerAction.Flood
import io.lavenderhinge.instance.gateway.ServerAction.Paced
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import io.lavenderhinge.instance.gateway.ServerAction.SendAndReset
import io.lavenderhinge.instance.gateway.ServerAction.Trickle

/** Guards against streams that lose or repeat events, or that end wrongly if servers fail. */
class StreamForwardingTest :
    FunSpec({
        // Guards against truncated, lost and duplicate events.
        test(
            "given a resumable stream that breaks within an event, then another server resumes it"
        ) {
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
            "given a stream that cannot be resumed, when it breaks, then it does not end normally"
        ) {
            val server = ScriptedBackendServer { SendAndClose(streamHead(it) + chunk(event(1))) }
            val other = ScriptedBackendServer { SendAndClose(streamHead(it) + chunk(event(1))) }

            shouldThrow<HttpCallException.OutcomeUnknown> {
                withGateway(server, other) { it.call("/digest/1", body = "p") }
            }
            server.requests.size + other.requests.size shouldBe 1
        }

        // Guards against a stalled stream that is kept open by a byte now and then.
        test("given a server that sends comments only, then another server answers") {
            val stalled = ScriptedBackendServer { request ->
                Trickle(streamHead(request), chunk(": wait\n\n"), pauseMillis = 100)
            }
            val sound = ScriptedBackendServer { Send(streamHead(it) + chunk(event(1)) + chunk("")) }

            val bodies =
                withGateway(stalled, sound) { gateway ->
                    List(2) { String(gateway.call("/draft/$it", body = "p", id = "r$it").body) }
                }

            bodies.forEach { it.replace(": wait\n\n", "") shouldBe event(1) }
        }

        // Guards against cutting off a stream that is slow but makes progress.
        test("given a slow stream whose events come in parts, then it is not retried") {
            val parts = listOf("id: 1\n", "data: e1\n", "\n", "id: 2\n", "data: e2\n", "\n")
            val script = { request: String ->
                Paced(streamHead(request), parts.map(::chunk) + chunk(""), pauseMillis = 250)
            }
            val server = ScriptedBackendServer(script)
            val other = ScriptedBackendServer(script)

            val response = withGateway(server, other) { it.call("/draft/1", body = "p") }

            String(response.body) shouldBe event(1) + event(2)
            server.requests.size + other.requests.size shouldBe 1
        }

        test("given a server whose event has no end, then the client's stream is not complete") {
            val endless = ScriptedBackendServer { request ->
                Flood(streamHead(request) + chunk(event(1)), chunk("data: x\n".repeat(4_096)))
            }

            shouldThrow<HttpCallException.OutcomeUnknown> {
                withGateway(endless) { it.call("/digest/1", body = "p") }
            }
        }

        test("given a stream that ends with its connection, then the client gets it whole") {
            val server = ScriptedBackendServer {
                SendAndClose(unframed(streamHead(it)) + event(1) + event(2))
            }

            val response = withGateway(server) { it.call("/digest/1", body = "p") }

            String(response.body) shouldBe event(1) + event(2)
        }

        test("given a stream without a length that is reset, then it does not end normally") {
            val server = ScriptedBackendServer { SendAndReset(unframed(streamHead(it)) + event(1)) }

            shouldThrow<HttpCallException.OutcomeUnknown> {
                withGateway(server) { it.call("/digest/1", body = "p") }
            }
        }

        test("given a stream that ends within an event, then another server resumes it") {
            val script = { request: String ->
                val head = unframed(streamHead(request))
                if ("Last-Event-Id" in request) SendAndClose(head + event(2))
                else SendAndClose(head + event(1) + "id: 2\nda")
            }

            val response =
                withGateway(ScriptedBackendServer(script), ScriptedBackendServer(script)) {
                    it.call("/draft/1", body = "p")
                }

            String(response.body) shouldBe event(1) + event(2)
        }
    })
