package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.delay

private const val FULL_PAUSE_MILLIS = 60L

private const val REFUSAL =
    "HTTP/1.1 503 Service Unavailable\r\nX-Lavenderhinge-Not-Executed: 1\r\n" +
        "Content-Length: 0\r\n\r\n"

/**
 * Guards against late second copies of answers that are taken for the answer of a later request.
 */
class SecondCopyTest :
    FunSpec({
        fun idOf(request: String) =
            Regex("X-Lavenderhinge-Request-Id: (\\S+)").find(request)?.groupValues?.get(1).orEmpty()

        // Guards against a record that runs twice, or that is refused although it runs.
        test("given a refusal without an id that comes twice, then each record runs once") {
            val runs = ConcurrentHashMap<String, Int>()
            val servers =
                List(2) {
                    var requests = 0
                    ScriptedBackendServer { request ->
                        if (requests++ % 3 == 0) {
                            SendTwice(REFUSAL)
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

        // Guards against a new connection for each request.
        test("given answers with their id, then the connection is kept") {
            val server = ScriptedBackendServer { Send(rawResponse(it, "200 OK", "ok")) }

            GatewayHarness(server).use { gateway ->
                repeat(10) { gateway.call("/book/$it", body = "b", id = "r$it") }
            }

            server.connectionCount shouldBeLessThanOrEqualTo 1
            server.close()
        }
    })
