package io.lavenderhinge.instance

import arrow.core.right
import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.adapters.HttpLiveList
import io.lavenderhinge.adapters.HttpWeightStore
import io.lavenderhinge.core.membership.LocalInstance
import io.lavenderhinge.core.port.WeightStore
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.Bootstrap
import io.lavenderhinge.core.settings.Readiness
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.instance.caller.CallerHandler
import io.lavenderhinge.instance.caller.ModelRequests
import io.lavenderhinge.instance.caller.RequestServices
import io.lavenderhinge.instance.caller.ServiceRequests
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.health.LoadPoller
import io.lavenderhinge.instance.ledger.LedgerService
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.operator.OperatorView
import io.lavenderhinge.instance.operator.StatusReport
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.instance.rollout.RolloutPorts
import io.lavenderhinge.instance.rollout.RolloutService
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
    private val identity = bootstrap.identity
    private val control = ControlThread()
    private val traffic = MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory())
    private val client = HttpClient(traffic)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val reads = budget(bootstrap.platform.readsPerSecond)
    private val writes = budget(bootstrap.platform.writesPerSecond)
    private val store =
        HttpKeyValueStore(client, socketAddress(bootstrap.platform.keyValue), reads, writes)
    private val list = HttpLiveList(client, socketAddress(bootstrap.platform.liveList), reads)
    private val links: GrpcPeerLinks =
        GrpcPeerLinks(PeerIdentity(identity.id, identity.failureDomain, identity.region), control) {
            membership.addressOf(it)
        }
    private val membership: MembershipService =
        MembershipService(selfDescription(), bootstrap.seedPeers, list, links, control)
    private val settings =
        SettingsService(identity.failureDomain, store, links, membership, control)
    private val health = HealthService(control, client) { membership.servers().map { it.member } }
    private val fleet =
        FleetView(InstanceView(identity.id, identity.failureDomain), membership, health, client)
    private val slots =
        HomeSlotService(
            links,
            control,
            identity.failureDomain,
            fleet::homeCandidates,
            fleet::servers,
        )
    private val poller =
        LoadPoller(control, client, slots, health) { membership.servers().map { it.member } }
    private val ledger =
        LedgerService(control, links, store, liveInstanceIds = membership::liveInstances)
    private val rollouts =
        RolloutService(
            RolloutPorts(
                store,
                weightStore(),
                links,
                settings::current,
                membership::liveInstances,
                fleet::rolloutServers,
            ),
            control,
        )
    private val services =
        RequestServices(
            selfId = identity.id,
            routes = { routes },
            slots = slots,
            ledger = ledger,
            versions = rollouts,
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
    private val status =
        StatusReport(
            identity.id,
            identity.failureDomain,
            control,
            settings,
            membership,
            health,
            slots,
            rollouts,
            callers::inFlightCount,
        )
    private val callerServer = HttpServer(traffic, callers, limits())
    private val operatorServer =
        HttpServer(
            traffic,
            OperatorHandler(
                OperatorView(::notReadyReason, status::status, status::explain),
                registry,
            ),
        )
    @Volatile private var routes: RouteTable? = null
    @Volatile private var leaving = false

    /** Starts to listen; the instance is ready once settings are in force. */
    fun start() {
        links.start(socketAddress(bootstrap.listen.peer))
        control.execute(::startControl)
        operatorServer.start(socketAddress(bootstrap.listen.operator))
        callerServer.start(socketAddress(bootstrap.listen.caller))
        log.info("instance: {} listens for callers on {}", identity.id, bootstrap.listen.caller)
    }

    private fun startControl() {
        membership.addDigestContributor { digest -> digest.addAllServers(slots.summaries()) }
        membership.start()
        settings.onChange {
            rollouts.settingsChanged()
            routes = RouteTable(it)
        }
        settings.start()
        health.start()
        slots.start()
        poller.start()
        rollouts.start()
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
        while (isBusy() && control.nowMillis() < untilMillis) Thread.sleep(DRAIN_POLL_MILLIS)
        slots.shutdown()
        callerServer.close()
        operatorServer.close()
        links.close()
        control.close()
        log.info("instance: {} has shut down, {} cut off", identity.id, callers.inFlightCount)
    }

    // Outcomes that are not recorded yet would be in doubt for every repeat of their key.
    private fun isBusy(): Boolean = callers.inFlightCount > 0 || openAttempts() > 0

    private fun openAttempts(): Int {
        val count = java.util.concurrent.CompletableFuture<Int>()
        control.execute { count.complete(ledger.openAttemptCount) }
        return count.get()
    }

    private fun notReadyReason(): String? {
        if (leaving) return "the instance shuts down"
        if (!membership.isListKnown()) return "the live list was not read and no peer has it"
        return when (val readiness = settings.ready()) {
            is Readiness.Ready -> null
            is Readiness.NotReady -> readiness.reason
        }
    }

    private fun selfDescription() =
        LocalInstance(
            identity.id,
            bootstrap.listen.peer.toString(),
            identity.failureDomain,
            incarnation = control.nowMillis(),
        )

    // Without a weight store nothing is checked before an order; the engine refuses what it lacks.
    private fun weightStore(): WeightStore =
        bootstrap.platform.weightStore?.let { HttpWeightStore(client, socketAddress(it)) }
            ?: WeightStore { _, _ -> true.right() }

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

    private companion object {
        const val TRAFFIC_THREADS = 2
        const val BURST_SECONDS = 2.0
        const val NOT_READY_MILLIS = 1_000L
        const val DRAIN_MILLIS = 60_000L
        const val DRAIN_POLL_MILLIS = 50L
        val log = LoggerFactory.getLogger(Instance::class.java)

        fun socketAddress(address: Address) = InetSocketAddress(address.ip, address.port)
    }
}
