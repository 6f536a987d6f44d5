package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import kotlinx.coroutines.delay

private const val CRASHING_BODY = "crashing"
/** By then, the quarantine has been decided. */
private const val DECISION_MILLIS = 400L

/** A server that ends when it gets the body [CRASHING_BODY]. */
private class CrashingServer : AutoCloseable {
    var hasCrashed = false
        private set

    val backend: ScriptedBackendServer = ScriptedBackendServer(::answer)

    private fun answer(request: String): ServerAction {
        if (!request.endsWith(CRASHING_BODY)) return Send(rawResponse(request, "200 OK", "ok"))
        hasCrashed = true
        close()
        return SendAndClose("")
    }

    override fun close() = backend.close()
}

class CrashingRequestForwardingTest :
    FunSpec({
        // Guards against a request without a prompt that is sent to server after server.
        test("given a request under which three servers ended, then the others are spared") {
            val servers = List(5) { CrashingServer() }
            val backends = servers.map { it.backend }.toTypedArray()
            GatewayHarness(*backends).use { gateway ->
                gateway.call("/look/a", body = "sound").status shouldBe 200

                repeat(2) { gateway.call("/look/a", body = CRASHING_BODY).status shouldBe 502 }
                delay(DECISION_MILLIS)
                val statuses = List(5) { gateway.call("/look/a", body = CRASHING_BODY).status }

                statuses.toSet() shouldBe setOf(503)
                servers.count { it.hasCrashed } shouldBe 3
                gateway.call("/look/a", body = "other").status shouldBe 200
            }
            servers.forEach { it.close() }
        }
    })
