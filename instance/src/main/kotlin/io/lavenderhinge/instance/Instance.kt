package io.lavenderhinge.instance

import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.adapters.HttpLiveList
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.NotRunReason
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.Bootstrap
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.instance.caller.CallerHandler
import io.lavenderhinge.instance.caller.ModelRequests
import io.lavenderhinge.instance.caller.RequestServices
import io.lavenderhinge.instance.caller.ServiceRequests
import io.lavenderhinge.instance.caller.Versions
import io.lavenderhinge.instance.caller.socketAddress as parseAddress
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.health.LoadPoller
import io.lavenderhinge.instance.ledger.Ledger
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.operator.OperatorView
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.instance.scheduling.HomeSlotService
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import org.slf4j.LoggerFactory

/** One entry instance: wires the decisions of the core to sockets, timers and the platform. */
class Instance(private val bootstrap: Bootstrap) {
    private val control = ControlThread()
    private val traffic = MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory())
    private val client = HttpClient(traffic)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val reads = budget(bootstrap.platform.readsPerSecond)
    private val store =
        HttpKeyValueStore(
            client,
            socketAddress(bootstrap.platform.keyValue),
            reads,
            budget(bootstrap.platform.writesPerSecond),
        )
    private val list = HttpLiveList(client, socketAddress(bootstrap.platform.liveList), reads)
    private val view = PolledView(store, list)
    private val identity = bootstrap.identity
    private val links =
        GrpcPeerLinks(
            PeerIdentity(identity.id, identity.failureDomain, identity.region),
            control,
        ) { id ->
            instances().firstOrNull { it.id == id }?.let { parseAddress(it.address) }
        }
    private val health = HealthService(control, client, ::backendServers)
    private val slots =
        HomeSlotService(
            links,
            control,
            identity.failureDomain,
            { instances().map { InstanceView(it.id, it.failureDomain) } },
            ::servers,
        )
    private val poller = LoadPoller(control, client, slots, health, ::backendServers)
    private val services =
        RequestServices(
            selfId = bootstrap.identity.id,
            routes = { view.routes },
            slots = slots,
            ledger = NoLedger,
            versions = SettledVersions(),
            evidence = health,
            metrics = RequestMetrics(registry),
            nowMillis = control::nowMillis,
        )
    private val callers =
        CallerHandler(
            services,
            ModelRequests(services, client, control.scope),
            ServiceRequests(services, client),
        )
    private val callerServer = HttpServer(traffic, callers, limits())
    private val operatorServer = HttpServer(traffic, OperatorHandler(operatorView(), registry))

    /** Starts to listen; the instance is ready once settings are in force. */
    fun start() {
        control.every(POLL_MILLIS) { view.refresh() }
        links.start(socketAddress(bootstrap.listen.peer))
        health.start()
        slots.start()
        poller.start()
        callerServer.start(socketAddress(bootstrap.listen.caller))
        operatorServer.start(socketAddress(bootstrap.listen.operator))
        log.info(
            "instance: {} listens for callers on {}",
            bootstrap.identity.id,
            bootstrap.listen.caller,
        )
    }

    /** Stops accepting connections. */
    fun shutdown() {
        callerServer.stopAccepting()
        log.info("instance: {} has shut down", bootstrap.identity.id)
    }

    private fun instances() = view.members.filter { it.kind == MemberKind.INSTANCE }

    private fun backendServers() = view.members.filter { it.kind != MemberKind.INSTANCE }

    private fun servers(): List<ServerView> =
        backendServers().map {
            val isModel = it.kind == MemberKind.MODEL_ENGINE
            ServerView(
                id = it.id,
                address = it.address,
                failureDomain = it.failureDomain,
                target = if (isModel) Target.Model(it.serves) else Target.Service(it.serves),
                version = it.version,
                health = health.health(it.id),
                hardwareGeneration = it.hardwareGeneration,
            )
        }

    private fun operatorView() =
        OperatorView(
            notReadyReason = { if (view.routes == null) "no settings are in force yet" else null },
            status = { mapOf("instance" to bootstrap.identity.id) },
            explain = { _, _, _ -> emptyMap() },
        )

    private fun limits(): HttpLimits =
        with(bootstrap.limits) {
            HttpLimits(
                requestLineBytes,
                headBytes,
                bodyBytes,
                headMillis,
                bodyMillis,
                idleMillis,
                connections,
                pipelinedRequests,
            )
        }

    private fun budget(callsPerSecond: Double) =
        CallBudget(callsPerSecond, burst = callsPerSecond.coerceAtLeast(1.0) * BURST_SECONDS)

    private inner class SettledVersions : Versions {
        override fun versionFor(target: TeamTarget, requestId: String): String? =
            view.tree
                ?.teams
                ?.get(target.team)
                ?.targets
                ?.firstOrNull { it.target == target.target }
                ?.version

        override fun observe(
            target: TeamTarget,
            route: String,
            version: String,
            outcome: RequestOutcome,
        ) = Unit
    }

    private companion object {
        const val TRAFFIC_THREADS = 2
        const val POLL_MILLIS = 500L
        const val BURST_SECONDS = 2.0
        const val RETRY_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(Instance::class.java)
        val NoLedger = Ledger { _, _ ->
            LedgerResult.NotRun(
                NotRunReason.PLATFORM_UNAVAILABLE,
                "this release has no ledger yet",
                RETRY_MILLIS,
            )
        }

        fun socketAddress(address: Address) = InetSocketAddress(address.ip, address.port)
    }
}
