package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Flood
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.measureTimedValue

private const val ID_FIELD = "X-Lavenderhinge-Request-Id"

private const val MAX_FLOOD_MILLIS = 1_000L

private const val MAX_LOG_LINE_CHARS = 10_000

/** Guards against bytes that belong to no request and change the response to the next one. */
class StrayBytesTest :
    FunSpec({
        val headStarts =
            mapOf(
                "the status code" to "HTTP/1.1 200 ",
                "the status line without its end" to "HTTP/1.1 200 O",
                "the status line" to "HTTP/1.1 200 OK\r\n",
                "half a field name" to "HTTP/1.1 200 OK\r\nX-La",
                "half a field" to "HTTP/1.1 200 OK\r\nDate: Sat",
                "a whole field" to "HTTP/1.1 200 OK\r\nA: b\r\n",
                "half an id" to "HTTP/1.1 200 OK\r\n$ID_FIELD: r",
                "half a signature" to
                    "HTTP/1.1 200 OK\r\n$ID_FIELD: r1\r\nX-Lavenderhinge-Server-Signature: s",
            )

        /** A server that sends [bytes] after its first response, then fails each request. */
        fun serverWithStrayBytes(bytes: String, earlyBytes: Int): ScriptedBackendServer {
            var requests = 0
            return ScriptedBackendServer { request ->
                if (requests++ == 0) {
                    SendTwice(rawResponse(request, "200 OK", "first"), bytes, earlyBytes)
                } else {
                    Send(rawResponse(request, "500 Failed", "second"))
                }
            }
        }

        context("given the start of a copy before the next request, then it has no effect") {
            withData(nameFn = { it.key }, headStarts.entries) { (_, bytes) ->
                val server = serverWithStrayBytes(bytes, earlyBytes = bytes.length)

                val answers =
                    GatewayHarness(server).use { gateway ->
                        List(2) { gateway.call("/book/$it", body = "b", id = "r${it + 1}") }
                    }

                server.close()
                answers.map { it.status } shouldBe listOf(200, 500)
                String(answers[1].body) shouldBe "second"
            }
        }

        // Guards against a success where the server answered with a failure.
        context("given the start of a copy after the next request, then its status is not used") {
            withData(nameFn = { it.key }, headStarts.entries) { (_, bytes) ->
                val server = serverWithStrayBytes(bytes, earlyBytes = 0)

                val answers =
                    GatewayHarness(server).use { gateway ->
                        List(2) { gateway.call("/book/$it", body = "b", id = "r${it + 1}") }
                    }

                server.close()
                answers[0].status shouldBe 200
                answers[1].status shouldBeIn listOf(500, 502, 504)
            }
        }

        // Guards against a sound response that is lost because of bytes before its request.
        context("given bytes after a complete response, then the next request is served") {
            withData(nameFn = { "bytes '${it.trim()}'" }, "x", "\r\n", "oops ", "HTTP/1.1 ") {
                val server = serverWithStrayBytes(it, earlyBytes = it.length)

                val answers =
                    GatewayHarness(server).use { gateway ->
                        List(2) { index ->
                            gateway.call("/book/$index", body = "b", id = "r$index")
                        }
                    }

                server.close()
                answers.map { answer -> answer.status } shouldBe listOf(200, 500)
            }
        }

        // Guards against a record that runs twice because of the start of a refusal.
        test("given the start of a refusal after a response, then the next record runs once") {
            val runs = ConcurrentHashMap<String, Int>()
            val start = "HTTP/1.1 503 Full\r\nX-Lavenderhinge-Not-Executed: 1\r\nDate: Sa"
            val servers =
                List(2) {
                    ScriptedBackendServer { request ->
                        val id = Regex("$ID_FIELD: (\\S+)").find(request)!!.groupValues[1]
                        runs.merge(id, 1, Int::plus)
                        SendTwice(rawResponse(request, "200 OK", "ok"), start, start.length)
                    }
                }

            val statuses =
                GatewayHarness(*servers.toTypedArray()).use { gateway ->
                    List(6) { gateway.call("/book/$it", body = "b", id = "r$it").status }
                }

            servers.forEach { it.close() }
            runs.filterValues { it > 1 } shouldBe emptyMap()
            statuses shouldBe List(6) { 200 }
        }

        // Guards against a limit on skipped responses that counts over all requests of a
        // connection.
        test("given an interim response before each response, then the connection is kept") {
            val server = ScriptedBackendServer {
                Send("HTTP/1.1 103 Early Hints\r\n\r\n" + rawResponse(it, "200 OK", "ok"))
            }

            val statuses =
                GatewayHarness(server).use { gateway ->
                    List(40) { gateway.call("/book/$it", body = "b", id = "r$it").status }
                }

            server.close()
            statuses shouldBe List(40) { 200 }
            server.connectionCount shouldBe 1
        }

        // Guards against memory, time and log lines that grow with what a faulty server sends.
        context("given responses without end that belong to no request, then the request ends") {
            withData(
                nameFn = { it.lines().first() },
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 201 OK\r\n$ID_FIELD: old\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
            ) { part ->
                val lines = recordRequestLog()
                var requests = 0
                val server = ScriptedBackendServer { request ->
                    if (requests++ == 0) Send(rawResponse(request, "200 OK", "first"))
                    else Flood("", part)
                }

                val (answer, duration) =
                    GatewayHarness(server).use { gateway ->
                        gateway.call("/book/1", body = "b", id = "f1")
                        measureTimedValue { gateway.call("/book/2", body = "b", id = "f2") }
                    }

                server.close()
                answer.status shouldBe 502
                duration.inWholeMilliseconds shouldBeLessThan MAX_FLOOD_MILLIS
                lines.list.last().keyValuePairs.toString().length shouldBeLessThan
                    MAX_LOG_LINE_CHARS
            }
        }
    })
