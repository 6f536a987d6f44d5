package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ServerAction.Paced
import io.lavenderhinge.instance.gateway.ServerAction.Send

/** Guards against streams that are cut because their server is silent for a while. */
class StalledStreamTest :
    FunSpec({
        /** Sends one event, and the second one after a pause. */
        fun pausingServer(pauseMillis: Long) = ScriptedBackendServer { request ->
            val rest = chunk(event(2)) + chunk("")
            Paced(streamHead(request) + chunk(event(1)), listOf(rest), pauseMillis)
        }

        suspend fun drafted(
            vararg servers: ScriptedBackendServer,
            budget: ServiceRetryBudget = ServiceRetryBudget(ratio = 0.5, fleetSlack = 20.0),
        ): String =
            try {
                GatewayHarness(*servers, retryBudget = budget).use {
                    String(it.call("/draft/1", body = "p").body)
                }
            } finally {
                servers.forEach { it.close() }
            }

        test("given a server that pauses for 1600 ms, then its stream is not moved") {
            val servers = List(2) { pausingServer(1_600) }

            drafted(*servers.toTypedArray()) shouldBe event(1) + event(2)
            servers.sumOf { it.requests.size } shouldBe 1
        }

        // Guards against giving up a stream and finding then that nothing can replace it.
        test("given a long pause and no retry budget, then the stream goes on") {
            val servers = List(2) { pausingServer(2_200) }
            val noRetries = ServiceRetryBudget(ratio = 0.0, fleetSlack = 0.0)

            drafted(*servers.toTypedArray(), budget = noRetries) shouldBe event(1) + event(2)
            servers.sumOf { it.requests.size } shouldBe 1
        }

        test("given a long pause and no other server, then the stream goes on") {
            drafted(pausingServer(2_200)) shouldBe event(1) + event(2)
        }

        test("given a stream that hangs, then another server goes on after its last event") {
            val script = { request: String ->
                if ("Last-Event-Id: 1" in request) {
                    Send(streamHead(request) + chunk(event(2)) + chunk(""))
                } else {
                    Send(streamHead(request) + chunk(event(1)))
                }
            }
            val servers = List(2) { ScriptedBackendServer(script) }

            drafted(*servers.toTypedArray()) shouldBe event(1) + event(2)
            servers.map { it.requests.size } shouldBe listOf(1, 1)
        }
    })
