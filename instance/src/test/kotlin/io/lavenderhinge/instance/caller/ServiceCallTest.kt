package io.lavenderhinge.instance.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.instance.dispatch.ownResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders

class ServiceCallTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully() }

        fun pathOf(request: String) = request.substringAfter(' ').substringBefore(' ')

        /** Calls the service with paths `/1` to `/9`, of which every third is not idempotent. */
        suspend fun callNineTimes(server: ScriptedBackendServer): List<String> {
            val client = HttpClient(group)
            val fixture = ServiceCallFixture(server.port)
            return (1..9).map { number ->
                val method = if (number % 3 == 0) "POST" else "GET"
                val request =
                    HttpRequest(method, "/$number", "", DefaultHttpHeaders(), ByteArray(0))
                val context = fixture.context("a$number", isIdempotent = method == "GET")
                val outcome = ServiceCall(fixture.services, client, request, context).dispatch()
                String((outcome as ServiceCallOutcome.Answered).response.body)
            }
        }

        data class Case(val name: String, val repeatsId: Boolean)

        // Guards against the answer to one caller that another caller gets.
        context("given a service whose answers come twice, then each caller gets its own") {
            withData(
                nameFn = { it.name },
                Case("that repeats the request id", repeatsId = true),
                Case("that does not repeat the request id", repeatsId = false),
            ) { case ->
                val server = ScriptedBackendServer {
                    SendTwice(ownResponse(it, pathOf(it), repeatsId = case.repeatsId))
                }

                val bodies = server.use { callNineTimes(it) }

                bodies shouldBe (1..9).map { "/$it" }
            }
        }

        // Guards against a new connection for each idempotent request.
        test("given answers with their id, then idempotent requests reuse the connection") {
            val server = ScriptedBackendServer { Send(ownResponse(it, pathOf(it))) }

            server.use { callNineTimes(it) }

            // One connection for the first request and one for each that is not idempotent.
            server.connectionCount shouldBe 4
        }

        // Guards against a request that is reported as refused although the service has run it.
        test("given a refusal that comes twice, when the request is sent again, then it is run") {
            var requests = 0
            val server = ScriptedBackendServer { request ->
                if (requests++ == 0)
                    SendTwice(ownResponse(request, """{"draining":true}""", "503 Draining"))
                else Send(ownResponse(request, "done"))
            }
            val fixture = ServiceCallFixture(server.port)
            val request = HttpRequest("GET", "/1", "", DefaultHttpHeaders(), ByteArray(0))

            val outcome =
                server.use {
                    val context = fixture.context("a1", isIdempotent = true)
                    ServiceCall(fixture.services, HttpClient(group), request, context).dispatch()
                }

            String((outcome as ServiceCallOutcome.Answered).response.body) shouldBe "done"
            server.requests.size shouldBe 2
        }
    })
