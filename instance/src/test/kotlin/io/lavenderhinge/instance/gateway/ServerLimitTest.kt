package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send
import kotlinx.coroutines.delay

private const val LIMIT_PER_SECOND = 2.0
private const val WINDOW_SECONDS = 4

class ServerLimitTest :
    FunSpec({
        // Guards against a server that gets more requests than the limit that it names.
        test("given a server that names a limit, then it gets no more than that") {
            val limited = ScriptedBackendServer {
                Send(rawResponse(it, "200 OK", "ok", "Server-Limit: $LIMIT_PER_SECOND\r\n"))
            }
            val other = ScriptedBackendServer { Send(rawResponse(it, "200 OK", "ok")) }

            GatewayHarness(limited, other).use { gateway ->
                repeat(WINDOW_SECONDS * 20) {
                    gateway.call("/look/$it", id = "r$it")
                    delay(50)
                }
            }

            limited.requests.size.toDouble() shouldBeLessThanOrEqual
                1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
            limited.requests.size shouldBeGreaterThan 4
        }
    })
