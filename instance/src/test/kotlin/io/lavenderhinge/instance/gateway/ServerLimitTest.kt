package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val LIMIT_PER_SECOND = 2.0
private const val WINDOW_SECONDS = 4

private val ALLOWED = (1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5).toInt()

class ServerLimitTest :
    FunSpec({
        fun limitedServer() = ScriptedBackendServer {
            Send(rawResponse(it, "200 OK", "ok", "Server-Limit: $LIMIT_PER_SECOND\r\n"))
        }

        // Guards against a server that gets more requests than the limit that it names.
        test("given a server that names a limit, then it gets no more than that") {
            val limited = limitedServer()
            val other = ScriptedBackendServer { Send(rawResponse(it, "200 OK", "ok")) }

            val statuses =
                GatewayHarness(limited, other).use { gateway ->
                    List(WINDOW_SECONDS * 20) {
                        delay(50)
                        gateway.call("/look/$it", id = "r$it").status
                    }
                }

            statuses.toSet() shouldBe setOf(200)
            limited.requests.size shouldBeInRange 1..ALLOWED
        }

        // Guards against a limited server that is hardly used, although requests wait for it.
        test("given no other server, then the limited one is used at its rate") {
            val limited = limitedServer()
            var called = 0

            GatewayHarness(limited).use { gateway ->
                withTimeoutOrNull(WINDOW_SECONDS.seconds) {
                    while (true) gateway.call("/look/$called", id = "r${called++}")
                }
            }

            limited.requests.size shouldBeInRange 6..ALLOWED
        }
    })
