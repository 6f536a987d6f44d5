package io.lavenderhinge.instance.gateway

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.refusal
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import kotlinx.collections.immutable.persistentMapOf

/**
 * Guards against requests whose body leaves their region. The workspace is restricted to `east`,
 * where the second server is; the first one is in the gateway's own domain, in `west`.
 */
class RegionForwardingTest :
    FunSpec({
        suspend fun <T> restricted(
            servers: List<ScriptedBackendServer>,
            use: suspend (GatewayHarness) -> T,
        ): T =
            try {
                GatewayHarness(
                        *servers.toTypedArray(),
                        quota = ""","allowed_regions":["east"]""",
                        failureDomains = listOf("d", "e"),
                        regions = RegionTable(persistentMapOf("d" to "west", "e" to "east")),
                    )
                    .use { use(it) }
            } finally {
                servers.forEach { it.close() }
            }

        test("given a server nearby, then requests go to the region all the same") {
            val servers = List(2) { serverAnswering() }

            restricted(servers) { gateway ->
                repeat(5) { gateway.call("/book/1", "p", id = "r$it").status shouldBe 200 }
            }

            servers.map { it.requests.size } shouldBe listOf(0, 5)
        }

        test("given a server of the region that is lost, then the retry does not leave it") {
            val servers = listOf(serverAnswering(), ScriptedBackendServer { SendAndClose("") })

            restricted(servers) { it.call("/look/1") }.status shouldBe 502

            servers.map { it.requests.size } shouldBe listOf(0, 1)
        }

        test("given a server that has not run the request, then the refusal says so") {
            val servers = listOf(serverAnswering(), ScriptedBackendServer { Send(refusal(it)) })

            val response = restricted(servers) { it.call("/look/1") }

            response.status shouldBe 503
            response.header("Retry-After") shouldNotBe null
            servers.first().requests.shouldBeEmpty()
        }

        test("given a stream that breaks in the region, then it is resumed nowhere else") {
            val breaking = ScriptedBackendServer { SendAndClose(streamHead(it) + chunk(event(1))) }
            val servers = listOf(serverAnswering(), breaking)

            shouldThrow<HttpCallException.OutcomeUnknown> {
                restricted(servers) { it.call("/draft/1", body = "p") }
            }

            servers.first().requests.shouldBeEmpty()
        }

        test("given a silent server of the region, then no other replaces it") {
            val silent = ScriptedBackendServer { Send(streamHead(it) + chunk(event(1))) }
            val servers = listOf(serverAnswering(), silent)

            shouldThrow<HttpCallException.OutcomeUnknown> {
                restricted(servers) { it.call("/draft/1", body = "p") }
            }

            servers.first().requests.shouldBeEmpty()
        }
    })
