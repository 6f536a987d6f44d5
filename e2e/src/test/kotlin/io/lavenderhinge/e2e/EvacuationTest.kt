package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.lavenderhinge.e2e.fleet.GatewayFleet
import io.lavenderhinge.e2e.fleet.GatewayMember
import io.lavenderhinge.e2e.fleet.TestHttpClient
import io.lavenderhinge.e2e.fleet.awaitCondition
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.standins.startStandin
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Gateway processes in domain `d`, one server there and one in domain `e`. */
private class EvacuationFleet(directory: Path) : AutoCloseable {
    val arrivalsNearby = CopyOnWriteArrayList<Long>()
    private val fleet = GatewayFleet(size = 2, directory)
    private val nearby = recordingServer(arrivalsNearby)
    private val remote = recordingServer(CopyOnWriteArrayList())

    val members: List<GatewayMember>
        get() = fleet.members

    suspend fun start() {
        fleet.store.put(
            "op/config",
            """{"version":2,"services":[{"name":"s"}],"routes":[{"name":"look","host":"h",
            "prefix":"/look/","kind":"idempotent","service":"s","attempts":2,
            "timeout_ms":3000,"target_latency_ms":500}]}""",
        )
        register("i-near", nearby.port, "d")
        register("i-far", remote.port, "e")
        fleet.awaitReady()
    }

    fun evacuate() = fleet.store.put("op/evacuate/d", "{}")

    fun takeBack() = fleet.store.remove("op/evacuate/d")

    /** Sends requests to all gateways, also to one that starts, while [action] runs. */
    suspend fun underLoad(action: suspend () -> Unit) = coroutineScope {
        val load = members.map { member -> launch { while (true) send(member) } }
        action()
        load.forEach { it.cancel() }
    }

    private suspend fun send(member: GatewayMember) {
        val headers = listOf(HttpField("Host", "h"), HttpField("X-Lavenderhinge-Request-Id", "r"))
        try {
            TestHttpClient(InetSocketAddress("127.0.0.1", member.ports.caller))
                .call("GET", "/look/1", headers = headers)
        } catch (_: HttpCallException) {
            // The gateway is being restarted.
        }
        delay(REQUEST_PAUSE_MILLIS)
    }

    override fun close() {
        fleet.close()
        nearby.close()
        remote.close()
    }

    private fun register(id: String, port: Int, zone: String) =
        fleet.store.put(
            "servers/$id",
            """{"service":"s","address":"127.0.0.1:$port","zone":"$zone","version":"v1",
            "slots":4,"state":"ready","sequence":1}""",
        )

    private fun recordingServer(arrivals: MutableList<Long>) =
        startStandin(
            "127.0.0.1:0",
            HttpHandler {
                arrivals += System.currentTimeMillis()
                val signature = HttpField("X-Lavenderhinge-Server-Signature", "s")
                it.respond(HttpResponse(200, "ok".toByteArray(), listOf(signature)))
            },
        )

    private companion object {
        const val REQUEST_PAUSE_MILLIS = 10L
    }
}

/** Guards against requests that reach servers of an evacuated domain from real processes. */
class EvacuationTest :
    FunSpec({
        test("given a request to evacuate, then the domain gets nothing, also after a restart") {
            EvacuationFleet(tempdir().toPath()).use { fleet ->
                fleet.start()
                fleet.underLoad {
                    awaitCondition("the domain is used") { fleet.arrivalsNearby.isNotEmpty() }

                    fleet.evacuate()
                    val writtenMillis = System.currentTimeMillis()
                    delay(BOUND_MILLIS)
                    fleet.members.first().restart(graceSeconds = 10)
                    awaitCondition("the gateway is ready again") { fleet.members.first().isReady() }
                    delay(BOUND_MILLIS)
                    val latestMillis = fleet.arrivalsNearby.max() - writtenMillis
                    println("evacuation: the last request arrived after $latestMillis ms")
                    fleet.arrivalsNearby
                        .filter { it - writtenMillis > BOUND_MILLIS }
                        .shouldBeEmpty()

                    fleet.takeBack()
                    fleet.arrivalsNearby.clear()
                    awaitCondition("the domain is used again") { fleet.arrivalsNearby.isNotEmpty() }
                }
                fleet.arrivalsNearby.shouldNotBeEmpty()
            }
        }
    })

/** A working watch delivers the key within its pause. */
private const val BOUND_MILLIS = 1_000L
