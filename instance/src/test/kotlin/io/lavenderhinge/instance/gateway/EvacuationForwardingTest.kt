package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ServerAction.Paced
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import io.lavenderhinge.instance.gateway.ServerAction.SendOnSignal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Guards against requests that reach a server of an evacuated failure domain. The first server is
 * in the domain `d` of the gateway, and so is the third one; the second one is in `e`.
 */
class EvacuationForwardingTest :
    FunSpec({
        // Guards against an evacuation that becomes known between the choice of a server and the
        // write, while the connection is being opened.
        test("given a chosen server, when its domain is evacuated, then nothing is written") {
            val servers = List(2) { serverAnswering() }

            val response =
                servers.withDomains(maySendTo = { it.id != "i-0" }) { it.call("/book/1", "p") }

            response.status shouldBe 200
            servers.map { it.connectionCount } shouldBe listOf(1, 1)
            servers.map { it.requests.size } shouldBe listOf(0, 1)
        }

        test("given a kept connection, when the domain is evacuated, then nothing is written") {
            val servers = List(2) { serverAnswering() }
            val isEvacuated = AtomicBoolean()

            servers.withDomains(maySendTo = { it.id != "i-0" || !isEvacuated.get() }) {
                it.call("/look/1").status shouldBe 200
                isEvacuated.set(true)
                it.call("/look/1", id = "r2").status shouldBe 200
            }

            servers.map { it.requests.size } shouldBe listOf(1, 1)
        }

        // Guards against counting the withheld request as a failure of its server.
        test("given a withheld request, when its domain returns, then its server is used") {
            val slow = ScriptedBackendServer {
                Paced("", listOf(rawResponse(it, "200 OK", "ok")), pauseMillis = 200)
            }
            val servers = listOf(serverAnswering(), slow)
            val isEvacuated = AtomicBoolean(true)

            servers.withDomains(maySendTo = { it.id != "i-0" || !isEvacuated.get() }) {
                it.call("/look/1")
                isEvacuated.set(false)
                it.call("/look/1", id = "r2")
            }

            servers.first().requests shouldHaveSize 1
        }

        test("given a lost server, when its domain is evacuated, then the retry leaves it") {
            val fixture = EvacuatingServers { SendAndClose("") }

            val response = fixture.use { it.call("/look/1") }

            response.status shouldBe 200
            fixture.requestCounts shouldBe listOf(1, 1, 0)
        }

        test("given a stream, when its domain is evacuated, then it is finished there") {
            val signal = CountDownLatch(1)
            val fixture = EvacuatingServers {
                signal.countDown()
                SendOnSignal(it.begun(), signal, chunk(event(2)) + chunk(""))
            }

            val response = fixture.use { it.call("/draft/1", body = "p") }

            String(response.body) shouldBe event(1) + event(2)
            fixture.requestCounts shouldBe listOf(1, 0, 0)
        }

        test("given a broken stream, when its domain is evacuated, then another resumes it") {
            val fixture = EvacuatingServers { SendAndClose(it.begun()) }

            val response = fixture.use { it.call("/draft/1", body = "p") }

            String(response.body) shouldBe event(1) + event(2)
            fixture.requestCounts shouldBe listOf(1, 1, 0)
        }

        test("given a silent server, when its domain is evacuated, then another replaces it") {
            val fixture = EvacuatingServers { Send(it.begun()) }

            val response = fixture.use { it.call("/draft/1", body = "p") }

            String(response.body) shouldBe event(1) + event(2)
            fixture.requestCounts shouldBe listOf(1, 1, 0)
        }

        // Guards against a refusal that does not state that the request has not run.
        test("given only evacuated servers, then a booking is refused and sent to none") {
            val servers = List(2) { serverAnswering() }

            val response =
                servers.withDomains {
                    it.evacuate("d", "e")
                    it.call("/book/1", "p")
                }

            response.status shouldBe 503
            val retryAfter = checkNotNull(response.header("Retry-After"))
            retryAfter.toDouble() shouldBeGreaterThan 0.9
            servers.flatMap { it.requests }.shouldBeEmpty()
        }

        test("given an evacuation that has ended, then the domain gets requests again") {
            val server = serverAnswering()

            val statuses =
                listOf(server).withDomains {
                    it.evacuate("d")
                    val before = it.call("/book/1", "p").status
                    it.evacuate()
                    listOf(before, it.call("/book/1", "p", id = "r2").status)
                }

            statuses shouldBe listOf(503, 200)
        }
    })

private fun String.begun() = streamHead(this) + chunk(event(1))

private suspend fun <T> List<ScriptedBackendServer>.withDomains(
    maySendTo: (ServerEntry) -> Boolean = { true },
    use: suspend (GatewayHarness) -> T,
): T =
    try {
        val domains = listOf("d", "e", "d")
        GatewayHarness(*toTypedArray(), failureDomains = domains, maySendTo = maySendTo).use {
            use(it)
        }
    } finally {
        forEach { it.close() }
    }

/**
 * Three servers. The first request that reaches a server of domain `d` evacuates that domain and
 * gets [first]; the others go on with the stream or answer.
 */
private class EvacuatingServers(private val first: (request: String) -> ServerAction) {
    private lateinit var gateway: GatewayHarness
    private val isFirst = AtomicBoolean(true)
    private val servers = List(3) { ScriptedBackendServer { request -> action(request) } }

    /** Requests of the first, the second and the third server; the first one got the first. */
    val requestCounts: List<Int>
        get() {
            val (first, second, third) = servers.map { it.requests.size }
            return listOf(maxOf(first, third), second, minOf(first, third))
        }

    suspend fun <T> use(call: suspend (GatewayHarness) -> T): T =
        servers.withDomains {
            gateway = it
            call(it)
        }

    private fun action(request: String): ServerAction {
        if (isFirst.getAndSet(false)) {
            gateway.evacuate("d")
            return first(request)
        }
        if ("/look/" in request) return Send(rawResponse(request, "200 OK", "ok"))
        request shouldContain "Last-Event-Id: 1"
        return Send(streamHead(request) + chunk(event(2)) + chunk(""))
    }
}
