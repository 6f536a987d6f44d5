package io.lavenderhinge.e2e.repeating

import io.lavenderhinge.e2e.fleet.GatewayFleet
import java.nio.file.Path
import kotlin.random.Random
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

internal const val IDEMPOTENT_PREFIX = "/look/"
internal const val RECORD_PREFIX = "/book/"
internal const val STREAM_PREFIX = "/tail/"

/** Gateway processes before servers that repeat their answers, and the callers of a run. */
internal class RepeatingFleet(private val seed: Long, directory: Path) : AutoCloseable {
    val log = ServerLog()
    private val planner = AnswerPlanner(seed)
    private val servers = List(SERVER_COUNT) { RepeatingServer("i-${it + 1}", planner, log) }
    private val gateways = GatewayFleet(GATEWAY_COUNT, directory)

    /** Publishes the configuration and the servers, and waits for the gateways. */
    suspend fun start() {
        gateways.store.put("op/config", configuration())
        servers.forEach { gateways.store.put("servers/${it.id}", entry(it)) }
        gateways.awaitReady()
    }

    /** Sends [requestsPerCaller] requests from each caller and returns what they got. */
    suspend fun runCallers(requestsPerCaller: Int): ImmutableList<CompletedCall> = coroutineScope {
        List(CALLER_COUNT) { caller ->
                async(Dispatchers.IO) { runCaller(caller, requestsPerCaller) }
            }
            .awaitAll()
            .flatten()
            .toImmutableList()
    }

    override fun close() {
        gateways.close()
        servers.forEach(RepeatingServer::close)
    }

    private suspend fun runCaller(caller: Int, requestCount: Int): List<CompletedCall> {
        val random = Random(seed * CALLER_COUNT + caller)
        val ports = gateways.callerPorts
        return RawCaller(ports[caller % ports.size]).use { connection ->
            val calls =
                List(requestCount) { number ->
                    val request = draw(random, "c$caller-$number")
                    val result = connection.call(request)
                    if (result is CallerResult.Answered) delay(result.retryAfterMillis)
                    CompletedCall(request, result)
                }
            check(connection.strayCount == 0) { "caller $caller got bytes without a request" }
            calls
        }
    }

    private fun draw(random: Random, id: String) =
        CallerRequest(
            id,
            PREFIXES.random(random),
            BodyFraming.entries.random(random),
            if (random.nextDouble() < LEAVING_SHARE) random.nextInt(1, MAX_STAY_MILLIS) else null,
        )

    private fun configuration(): String {
        val routes =
            listOf(
                    route("look", IDEMPOTENT_PREFIX, "idempotent", attempts = 2),
                    route("book", RECORD_PREFIX, "non_idempotent", attempts = 2),
                    route("tail", STREAM_PREFIX, "streaming", attempts = 2),
                )
                .joinToString()
        return """{"version":2,"services":[{"name":"s"}],"routes":[$routes]}"""
    }

    private fun route(name: String, prefix: String, kind: String, attempts: Int) =
        """{"name":"$name","host":"h","prefix":"$prefix","kind":"$kind","service":"s",
        "attempts":$attempts,"timeout_ms":4000,"target_latency_ms":1000}"""

    private fun entry(server: RepeatingServer) =
        """{"service":"s","address":"127.0.0.1:${server.port}","zone":"d","version":"v1",
        "slots":$SLOTS_PER_SERVER,"state":"ready","sequence":1}"""

    private companion object {
        const val GATEWAY_COUNT = 3
        const val SERVER_COUNT = 3
        const val SLOTS_PER_SERVER = 16
        const val CALLER_COUNT = 36
        const val LEAVING_SHARE = 0.05
        const val MAX_STAY_MILLIS = 15
        val PREFIXES = listOf(IDEMPOTENT_PREFIX, RECORD_PREFIX, RECORD_PREFIX, STREAM_PREFIX)
    }
}
