package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.e2e.fleet.Api
import io.lavenderhinge.e2e.fleet.TestProcess
import io.lavenderhinge.e2e.fleet.await
import io.lavenderhinge.e2e.fleet.freePort
import io.lavenderhinge.http.HttpCallException
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.standins.metadata.MetadataStoreHandler
import io.lavenderhinge.standins.startStandin
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.Base64
import kotlin.io.path.createFile
import kotlin.io.path.writeText
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

private fun loopback(port: Int) = InetSocketAddress("127.0.0.1", port)

/** A gateway process before a stand-in of the users' store and one replica. */
private class GatewayProcess(folder: Path) : AutoCloseable {
    val store = MetadataStoreHandler()
    val arrived = CompletableDeferred<Unit>()
    val release = CompletableDeferred<Unit>()
    private val storeServer: HttpServer = startStandin("127.0.0.1:0", store)
    private val replica = startStandin("127.0.0.1:0", HttpHandler { answer(it, status = 200) })
    private val failingReplica =
        startStandin("127.0.0.1:0", HttpHandler { answer(it, status = 500) })
    private val callerPort = freePort()
    private val readyPort = freePort()
    private val operatorPort = freePort()
    private val caller = Api(loopback(callerPort))
    private val settings = folder.resolve("gateway.ini").createFile()
    val process: TestProcess

    init {
        settings.writeText(settings("8s"))
        process =
            TestProcess(
                "gateway",
                "io.lavenderhinge.instance.MainKt",
                listOf("--platform", "--config", settings.toString()),
                folder.resolve("gateway.log"),
            )
    }

    fun settings(gracePeriod: String) =
        """
        [instance]
        id = g1
        failure-domain = d
        region = r
        [listen]
        caller = 127.0.0.1:$callerPort
        ready = 127.0.0.1:$readyPort
        peer = 127.0.0.1:${freePort()}
        operator = 127.0.0.1:$operatorPort
        [platform]
        store = 127.0.0.1:${storeServer.port}
        [bounds]
        grace-period = $gracePeriod
        """
            .trimIndent()

    fun change(gracePeriod: String) = settings.writeText(settings(gracePeriod))

    fun publish() {
        store.put(
            "op/config",
            """{"version":2,"services":[{"name":"s"}],"routes":[{"name":"look","host":"h",
            "prefix":"/look/","kind":"idempotent","service":"s","attempts":1,
            "timeout_ms":20000,"target_latency_ms":1000}]}""",
        )
        register("i-1", replica, "v1")
    }

    private fun register(id: String, server: HttpServer, version: String) =
        store.put(
            "servers/$id",
            """{"service":"s","address":"127.0.0.1:${server.port}","zone":"d",
            "version":"$version","slots":4,"state":"ready","sequence":1}""",
        )

    /** Orders a rollout to v2, whose only server fails every request when [isBad]. */
    fun orderRollout(isBad: Boolean) {
        store.put("op/rollout/s", """{"service":"s","target":"v2","duration_s":4}""")
        register("i-2", if (isBad) failingReplica else replica, "v2")
    }

    /** The status of the rollout as the operator reads it, or null. */
    suspend fun rolloutStatus(): String? {
        val answer = Api(loopback(storeServer.port)).call("GET", "/kv-key?key=status/rollout/s")
        if (answer.status != 200) return null
        val value = Json.treeMapper.readTree(answer.body).path("value").asText()
        return Base64.getDecoder().decode(value).decodeToString()
    }

    /** Sends requests until the rollout's status holds [word]. */
    suspend fun lookUntilRollout(word: String) =
        await("the rollout is $word") {
            repeat(REQUESTS_BETWEEN_LOOKS) { look() }
            rolloutStatus().orEmpty().contains(word)
        }

    suspend fun isReady(): Boolean = status(Api(loopback(readyPort)), "/readiness") == 200

    suspend fun metrics(): String = String(Api(loopback(operatorPort)).call("GET", "/metrics").body)

    suspend fun look(path: String = "/look/1"): Int =
        caller
            .call(
                "GET",
                path,
                headers =
                    listOf(HttpField("Host", "h"), HttpField("X-Lavenderhinge-Request-Id", "r")),
            )
            .status

    override fun close() {
        process.kill()
        storeServer.close()
        replica.close()
        failingReplica.close()
    }

    private suspend fun status(api: Api, path: String): Int? =
        try {
            api.call("GET", path).status
        } catch (_: HttpCallException) {
            null
        }

    private suspend fun answer(exchange: HttpExchange, status: Int) {
        if (exchange.request.path == "/look/slow") {
            arrived.complete(Unit)
            release.await()
        }
        val signature = HttpField("X-Lavenderhinge-Server-Signature", "s")
        exchange.respond(HttpResponse(status, "ok".toByteArray(), listOf(signature)))
    }

    private companion object {
        const val REQUESTS_BETWEEN_LOOKS = 5
    }
}

/** The gateway as a process; guards against signals and starts that lose requests. */
class GatewayProcessTest :
    FunSpec({
        test("given a store, then the gateway is ready once it knows configuration and servers") {
            GatewayProcess(tempdir().toPath()).use { gateway ->
                await("it listens") { "listens for clients" in gateway.process.log }
                gateway.isReady() shouldBe false

                gateway.publish()

                await("it is ready") { gateway.isReady() }
                gateway.look() shouldBe 200
                gateway.look("/other/1") shouldBe 404
                await("the request is counted") {
                    "lavenderhinge_gateway_results_total" in gateway.metrics()
                }
            }
        }

        test("given a rollout to a good version, then it is completed in time") {
            GatewayProcess(tempdir().toPath()).use { gateway ->
                gateway.publish()
                await("it is ready") { gateway.isReady() }

                gateway.orderRollout(isBad = false)

                gateway.lookUntilRollout("in_progress")
                gateway.lookUntilRollout("completed")
            }
        }

        test("given a rollout to a bad version, then it is rolled back and serves nobody") {
            GatewayProcess(tempdir().toPath()).use { gateway ->
                gateway.publish()
                await("it is ready") { gateway.isReady() }

                gateway.orderRollout(isBad = true)

                gateway.lookUntilRollout("rolled_back")
                List(20) { gateway.look() }.toSet() shouldBe setOf(200)
            }
        }

        // The runtime takes SIGHUP for an order to end unless it is handled.
        test("given SIGHUP, then the settings are read again and the gateway goes on") {
            GatewayProcess(tempdir().toPath()).use { gateway ->
                gateway.publish()
                await("it is ready") { gateway.isReady() }

                gateway.change("9s")
                gateway.process.hangUp()

                await("it has reloaded") { "gracePeriodMillis=9000" in gateway.process.log }
                gateway.look() shouldBe 200
            }
        }

        test("given a request in flight, when SIGTERM comes, then it is answered before the end") {
            GatewayProcess(tempdir().toPath()).use { gateway ->
                gateway.publish()
                await("it is ready") { gateway.isReady() }
                coroutineScope {
                    val slow = async { gateway.look("/look/slow") }
                    gateway.arrived.await()
                    gateway.process.terminate()
                    await("it is no longer ready") { !gateway.isReady() }
                    gateway.release.complete(Unit)
                    slow.await() shouldBe 200
                }
                gateway.process.awaitExit(8) shouldBe 143
                gateway.process.log shouldContain "ends with 0 in flight"
            }
        }
    })
