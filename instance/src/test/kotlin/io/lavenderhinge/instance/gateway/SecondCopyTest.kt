package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay

private const val FULL_PAUSE_MILLIS = 60L

private const val NOT_EXECUTED_FIELD = "X-Lavenderhinge-Not-Executed: 1\r\n"

private const val REFUSAL =
    "HTTP/1.1 503 Service Unavailable\r\n${NOT_EXECUTED_FIELD}Content-Length: 0\r\n\r\n"

private fun withoutId(response: String): String =
    response.replace(Regex("X-Lavenderhinge-Request-Id: \\S+\r\n"), "")

/**
 * Guards against late second copies of answers that are taken for the answer of a later request.
 */
class SecondCopyTest :
    FunSpec({
        fun idOf(request: String) =
            Regex("X-Lavenderhinge-Request-Id: (\\S+)").find(request)?.groupValues?.get(1).orEmpty()

        data class Refusal(val name: String, val send: (request: String) -> SendTwice)

        // Guards against a record that runs twice, or that is refused although it runs.
        context("given a refusal that comes twice, then each record runs once") {
            withData(
                nameFn = { it.name },
                Refusal("without an id") { SendTwice(REFUSAL) },
                Refusal("with its id, its copy without one") {
                    val refusal = rawResponse(it, "503 Full", "", NOT_EXECUTED_FIELD)
                    SendTwice(refusal, copy = withoutId(refusal))
                },
            ) { case ->
                val runs = ConcurrentHashMap<String, Int>()
                val servers =
                    List(2) {
                        var requests = 0
                        ScriptedBackendServer { request ->
                            if (requests++ % 3 == 0) {
                                case.send(request)
                            } else {
                                runs.merge(idOf(request), 1, Int::plus)
                                Send(rawResponse(request, "200 OK", "ok"))
                            }
                        }
                    }

                val statuses =
                    GatewayHarness(*servers.toTypedArray()).use { gateway ->
                        (1..30).associate {
                            // A server that has refused is used again after a pause.
                            delay(FULL_PAUSE_MILLIS)
                            "r$it" to gateway.call("/book/$it", body = "b", id = "r$it").status
                        }
                    }

                servers.forEach { it.close() }
                runs.filterValues { it > 1 } shouldBe emptyMap()
                statuses.filterValues { it == 503 }.keys.intersect(runs.keys) shouldBe emptySet()
                statuses.values.count { it == 200 } shouldBeGreaterThanOrEqualTo 25
            }
        }

        data class LateCopy(val name: String, val copyOf: (String) -> String, val earlyBytes: Int)

        // Guards against an answer to one request that is passed on as the answer to another.
        context("given servers whose answers come twice, then each caller gets its own") {
            withData(
                nameFn = { it.name },
                LateCopy("whole, with its id", { it }, 0),
                LateCopy("whole, without an id", ::withoutId, 0),
                LateCopy("head begun before the next request, with its id", { it }, 20),
                LateCopy("head begun before the next request, without an id", ::withoutId, 20),
            ) { case ->
                val served = ConcurrentHashMap<String, Pair<Int, String>>()
                var requests = 0
                val server = ScriptedBackendServer { request ->
                    val id = idOf(request)
                    val status = if (requests++ % 3 == 1) "500 Failed" else "200 OK"
                    served[id] = status.take(3).toInt() to "body of $id"
                    val answer = rawResponse(request, status, "body of $id")
                    SendTwice(answer, case.copyOf(answer), case.earlyBytes)
                }

                val received =
                    GatewayHarness(server).use { gateway ->
                        (1..12).associate {
                            val answer = gateway.call("/book/$it", body = "b", id = "r$it")
                            "r$it" to (answer.status to String(answer.body))
                        }
                    }

                server.close()
                received.filter { (id, answer) -> served[id] != answer } shouldBe emptyMap()
                received.size shouldBe 12
            }
        }

        // Guards against a late copy that a request without an id cannot tell from its own answer.
        context("given requests without an id, then each is sent on a new connection") {
            withData(nameFn = { "id $it" }, null, "") { id ->
                val server = ScriptedBackendServer { Send(rawResponse(it, "200 OK", "ok")) }

                GatewayHarness(server).use { gateway ->
                    repeat(3) { gateway.call("/book/$it", body = "b", id = id) }
                }

                server.connectionCount shouldBe 3
                server.close()
            }
        }

        // Guards against a new connection for each request.
        test("given answers with their id, then the connection is kept") {
            val server = ScriptedBackendServer { Send(rawResponse(it, "200 OK", "ok")) }

            GatewayHarness(server).use { gateway ->
                repeat(10) { gateway.call("/book/$it", body = "b", id = "r$it") }
            }

            server.connectionCount shouldBe 1
            server.close()
        }
    })
