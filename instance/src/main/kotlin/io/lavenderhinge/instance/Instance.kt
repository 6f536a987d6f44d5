package io.lavenderhinge.instance

import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.adapters.HttpLiveList
import io.lavenderhinge.core.ledger.LedgerResult
import io.lavenderhinge.core.ledger.NotRunReason
import io.lavenderhinge.core.membership.MemberState
import io.lavenderhinge.core.membership.SelfDescription
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.TeamTarget
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.Bootstrap
import io.lavenderhinge.core.settings.Readiness
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.instance.caller.CallerHandler
import io.lavenderhinge.instance.caller.ModelRequests
import io.lavenderhinge.instance.caller.RequestServices
import io.lavenderhinge.instance.caller.ServiceRequests
import io.lavenderhinge.instance.caller.Versions
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.health.LoadPoller
import io.lavenderhinge.instance.ledger.Ledger
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.operator.OperatorView
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.instance.scheduling.HomeSlotService
import io.lavenderhinge.instance.settings.SettingsService
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
    private val identity = bootstrap.identity
    private val links: GrpcPeerLinks =
        GrpcPeerLinks(PeerIdentity(identity.id, identity.failureDomain, identity.region), control) {
            membership.addressOf(it)
        }
    private val membership: MembershipService =
        MembershipService(selfDescription(), bootstrap.seedPeers, list, links, control)
    private val settings =
        SettingsService(identity.failureDomain, store, links, membership, control)
    @Volatile private var routes: RouteTable? = null
    @Volatile private var leaving = false
    private val health = HealthService(control, client, ::backendServers)
    private val slots =
        HomeSlotService(links, control, identity.failureDomain, ::homeCandidates, ::servers)
    private val poller = LoadPoller(control, client, slots, health, ::backendServers)
    private val services =
        RequestServices(
            selfId = bootstrap.identity.id,
            routes = { routes },
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
        links.start(socketAddress(bootstrap.listen.peer))
        control.execute(::startControl)
        callerServer.start(socketAddress(bootstrap.listen.caller))
        operatorServer.start(socketAddress(bootstrap.listen.operator))
        log.info(
            "instance: {} listens for callers on {}",
            bootstrap.identity.id,
            bootstrap.listen.caller,
        )
    }

    private fun startControl() {
        membership.addDigestPart { digest -> digest.addAllServers(slots.summaries()) }
        membership.start()
        settings.onChange { routes = RouteTable(it) }
        settings.start()
        health.start()
        slots.start()
        poller.start()
    }

    /**
     * Leaves the fleet and returns when the requests in flight have ended, or after [DRAIN_MILLIS].
     * Other instances take over the homes; callers get their answers.
     */
    fun shutdown() {
        log.info("instance: {} shuts down", identity.id)
        leaving = true
        control.execute(membership::leave)
        // The balancer goes by /readyz; connections that it still sends meanwhile are served.
        Thread.sleep(NOT_READY_MILLIS)
        callerServer.drain()
        val untilMillis = control.nowMillis() + DRAIN_MILLIS
        while (callers.inFlightCount > 0 && control.nowMillis() < untilMillis) {
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        slots.shutdown()
        callerServer.close()
        operatorServer.close()
        links.close()
        control.close()
        log.info("instance: {} has shut down, {} cut off", identity.id, callers.inFlightCount)
    }

    private fun notReadyReason(): String? {
        if (leaving) return "the instance shuts down"
        return when (val readiness = settings.ready()) {
            is Readiness.Ready -> null
            is Readiness.NotReady -> readiness.reason
        }
    }

    private fun selfDescription() =
        SelfDescription(
            identity.id,
            bootstrap.listen.peer.toString(),
            identity.failureDomain,
            incarnation = control.nowMillis(),
        )

    private fun homeCandidates(): List<InstanceView> =
        membership
            .instances()
            .filter { it.state == MemberState.LIVE }
            .map { InstanceView(it.id, it.failureDomain) }
            // The last instance of a fleet stays home for its own requests while it leaves.
            .ifEmpty { listOf(InstanceView(identity.id, identity.failureDomain)) }

    private fun backendServers(): List<ListedMember> = membership.servers().map { it.member }

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
            notReadyReason = ::notReadyReason,
            status = ::status,
            explain = { _, _, _ -> emptyMap() },
        )

    private fun status(): Map<String, Any?> =
        mapOf(
            "instance" to identity.id,
            "failureDomain" to identity.failureDomain,
            "inFlight" to callers.inFlightCount,
            "settings" to settings.current().teams.mapValues { it.value.revision },
            "rejectedSettings" to settings.rejected(),
            "instances" to membership.instances().associate { it.id to it.state.name.lowercase() },
            "invariantViolations" to slots.invariantViolations,
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
            settings
                .current()
                .teams[target.team]
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
        const val BURST_SECONDS = 2.0
        const val NOT_READY_MILLIS = 1_000L
        const val DRAIN_MILLIS = 60_000L
        const val DRAIN_POLL_MILLIS = 50L
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
