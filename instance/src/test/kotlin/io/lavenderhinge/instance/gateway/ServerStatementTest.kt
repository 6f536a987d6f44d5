package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ServerAction.Send

private const val NOT_EXECUTED = "X-Lavenderhinge-Not-Executed: 1\r\n"

/** Guards against requests to servers that say in their answers that they do not want them. */
class ServerStatementTest :
    FunSpec({
        fun answering(fields: String, status: String = "200 OK") = ScriptedBackendServer {
            Send(rawResponse(it, status, "ok", fields))
        }

        suspend fun statuses(count: Int, path: String, vararg servers: ScriptedBackendServer) =
            try {
                GatewayHarness(*servers).use { gateway ->
                    List(count) { gateway.call("/$path/$it", body = "b", id = "r$it").status }
                }
            } finally {
                servers.forEach { it.close() }
            }

        listOf("look" to "200 OK", "book" to "200 OK", "look" to "500 Internal Server Error")
            .forEach { (path, status) ->
                test("given a '$status' that says leaving, then no other $path reaches it") {
                    val leaving = answering("Server-Leaving: 1\r\n", status)
                    val other = answering("")

                    statuses(12, path, leaving, other).last() shouldBe 200
                    leaving.requests.size shouldBeInRange 0..1
                    (leaving.requests.size + other.requests.size) shouldBeInRange 12..13
                }
            }

        test("given a stream whose head says leaving, then no other one reaches the server") {
            val leaving = ScriptedBackendServer { request ->
                val head = streamHead(request).replace("Transfer", "Server-Leaving: 1\r\nTransfer")
                Send(head + chunk("id: 1\ndata: e\n\n") + chunk(""))
            }
            val other = ScriptedBackendServer {
                Send(streamHead(it) + chunk("id: 1\ndata: e\n\n") + chunk(""))
            }

            statuses(8, "draft", leaving, other).toSet() shouldBe setOf(200)
            leaving.requests.size shouldBeInRange 0..1
        }

        test("given a 503 with Retry-After, then the server gets nothing for so long") {
            val pausing = answering("Retry-After: 20\r\n$NOT_EXECUTED", "503 Service Unavailable")
            val other = answering("")

            statuses(12, "book", pausing, other).toSet() shouldBe setOf(200)
            pausing.requests.size shouldBeInRange 0..1
        }

        // Guards against telling a client to return while no server takes requests.
        test("given only a server that pauses, then the client is told when it is back") {
            val pausing = answering("Retry-After: 20\r\n$NOT_EXECUTED", "503 Service Unavailable")

            val response =
                pausing.use { server ->
                    GatewayHarness(server).use {
                        it.call("/book/1", body = "b", id = "r1")
                        it.call("/book/1", body = "b", id = "r2")
                    }
                }

            response.status shouldBe 503
            response.header("Retry-After")!!.toDouble().toInt() shouldBeInRange 19..20
            pausing.requests.size shouldBe 1
        }
    })
