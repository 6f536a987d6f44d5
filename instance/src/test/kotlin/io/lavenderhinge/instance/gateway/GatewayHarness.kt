package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.QuotaLimiter
import io.lavenderhinge.core.forwarding.QuotaTolerance
import io.lavenderhinge.core.forwarding.RegionTable
import io.lavenderhinge.core.forwarding.RequestAdmission
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.core.port.Snapshot
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpRequest
import io.lavenderhinge.http.HttpResponse
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.instance.control.ControlThread
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import java.net.InetSocketAddress
import kotlinx.collections.immutable.toImmutableList

/**
 * Runs a request forwarder for one host with the given servers as service `s`. [quota] holds the
 * fields of the quota of workspace `w`.
 */
internal class GatewayHarness(
    vararg servers: ScriptedBackendServer,
    retryBudget: ServiceRetryBudget = ServiceRetryBudget(ratio = 0.5, fleetSlack = 20.0),
    private val quotas: QuotaLimiter = QuotaLimiter(QuotaTolerance(8_000, 0.0, 0.0)),
    quota: String = "",
    /** Failure domains of the servers in their order; `d`, that of the gateway, if not listed. */
    private val failureDomains: List<String> = emptyList(),
    regions: RegionTable = RegionTable(),
    /** Returns whether a request may still be written to a server that was chosen for it. */
    maySendTo: (ServerEntry) -> Boolean = { true },
) : AutoCloseable {
    private val loop = TrafficLoop()
    private val control = ControlThread()
    private val clients = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(clients)
    private val gate = ReadinessGate()
    private val configuration = ConfigurationHolder(gate, confirmationValidMillis = 3_000)
    private val allocator = SlotAllocator("d", loop)
    private val evacuations = EvacuationRegistry()
    private var storeRevision = 0L
    private val server: HttpServer

    /** Port of the listener for clients. */
    val port: Int
        get() = server.port

    init {
        val text = CONFIGURATION.replace("\"api_keys\":[\"k\"]", "\"api_keys\":[\"k\"]$quota")
        configuration.applyIfNewer(text, "the test")
        configuration.confirm()
        val context =
            ForwardingContext(
                loop,
                HttpClient(loop.group),
                allocator,
                retryBudget,
                RequestLog(configuration::version, GatewayMetrics(control)),
                instanceCount = { 1 },
                tokensPerEvent = { 1 },
                maySendTo = { evacuations.allows(it) && maySendTo(it) },
            )
        val evacuationState = evacuations::state
        val regionTable = regions
        allocator.configure {
            this.evacuations = evacuationState
            this.regions = regionTable
        }
        evacuations.onChange = { loop.execute(allocator::onEvacuationsChanged) }
        val admission = RequestAdmission(quotas)
        val forwarder = RequestForwarder(context, configuration, admission, gate)
        val limits = HttpLimits(maxBodyBytes = MAX_BODY_BYTES)
        server = HttpServer(loop.group, forwarder, limits).start(InetSocketAddress("127.0.0.1", 0))
        val entries = servers.mapIndexed { index, backend -> entry(index, backend.port) }
        loop.execute {
            allocator.onServers(entries)
            gate.onServersAvailable()
            gate.onEvacuationsKnown()
        }
    }

    /** Sends a request of workspace `w` and returns the complete response. */
    suspend fun call(
        path: String,
        body: String = "",
        id: String? = "r1",
        fields: Map<String, String> = emptyMap(),
        method: String = if (body.isEmpty()) "GET" else "POST",
    ): HttpResponse {
        val headers =
            DefaultHttpHeaders()
                .set("Host", "h")
                .set("X-Lavenderhinge-Key", "k")
                .set("X-Lavenderhinge-Deadline-Remaining", "3000")
        id?.let { headers.set("X-Lavenderhinge-Request-Id", it) }
        fields.forEach { (name, value) -> headers.set(name, value) }
        val request = HttpRequest(method, path, "q=1", headers, body.toByteArray())
        return client.call(InetSocketAddress("127.0.0.1", server.port), request)
    }

    /** Activates a newer configuration in which every route has the timeout [timeoutMillis]. */
    fun changeTimeouts(timeoutMillis: Long) {
        val text =
            CONFIGURATION.replace(Regex("\"timeout_ms\":\\d+"), "\"timeout_ms\":$timeoutMillis")
                .replace("\"version\":3", "\"version\":${configuration.version + 1}")
        check(configuration.applyIfNewer(text, "the test")) { "the configuration was not applied" }
    }

    /** Lets the instance know that it has no peers. */
    fun showAlone() =
        loop.execute {
            quotas.onListed()
            val workspaces = configuration.table?.config?.workspaces.orEmpty()
            quotas.tick(emptySet(), workspaces, loop.nowMillis())
        }

    /** Lets the store list the requests to evacuate [domains], and no others. */
    fun evacuate(vararg domains: String) {
        val revision = ++storeRevision
        val values = domains.map { VersionedValue("op/evacuate/$it", "{}", revision) }
        evacuations.onSnapshot(Snapshot(values.toImmutableList(), revision))
    }

    override fun close() {
        server.close()
        client.close()
        clients.shutdownGracefully()
        loop.close()
        control.close()
    }

    private fun entry(index: Int, port: Int) =
        ServerEntry(
            id = "i-$index",
            service = "s",
            ip = "127.0.0.1",
            port = port,
            failureDomain = failureDomains.getOrElse(index) { "d" },
            softwareVersion = "v1",
            slots = 4,
            acceptsWork = true,
            startedMillis = 1,
        )

    private companion object {
        const val MAX_BODY_BYTES = 16_777_216
        val CONFIGURATION =
            """
            {"version":3,"services":[{"name":"s"}],"tenants":[{"name":"w","api_keys":["k"]}],
             "routes":[
              {"name":"look","host":"h","prefix":"/look/","kind":"idempotent","service":"s",
               "attempts":2,"timeout_ms":2000,"target_latency_ms":150},
              {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","service":"s",
               "attempts":2,"timeout_ms":2000,"target_latency_ms":150},
              {"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","service":"s",
               "attempts":2,"stream_resumption":true,"timeout_ms":3000,"target_latency_ms":600,
               "target_gap_ms":300},
              {"name":"digest","host":"h","prefix":"/digest/","kind":"streaming","service":"s",
               "attempts":2,"stream_resumption":false,"timeout_ms":3000,"target_latency_ms":600,
               "target_gap_ms":300}]}
            """
                .trimIndent()
    }
}
