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
import io.lavenderhinge.instance.caller.ModelRequestHandler
import io.lavenderhinge.instance.caller.RequestServices
import io.lavenderhinge.instance.caller.ServiceRequestHandler
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.health.HealthService
import io.lavenderhinge.instance.health.LoadPoller
import io.lavenderhinge.instance.ledger.LedgerService
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.operator.OperatorDataSource
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.operator.StatusReport
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.instance.quarantine.QuarantineService
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

/** A scheduler instance: connects the core to the network, timers and the platform services. */
class Instance(private val bootstrap: Bootstrap) {
    private val identity = bootstrap.identity
    private val control = ControlThread()
    private val eventLoops =
        MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory())
    private val client = HttpClient(eventLoops)
    private val meterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val readBudget = callBudget(bootstrap.platform.readsPerSecond)
    private val writeBudget = callBudget(bootstrap.platform.writesPerSecond)
    private val keyValueStore =
        HttpKeyValueStore(
            client,
            socketAddress(bootstrap.platform.keyValue),
            readBudget,
            writeBudget,
        )
    private val liveList =
        HttpLiveList(client, socketAddress(bootstrap.platform.liveList), readBudget)
    private val links: GrpcPeerLinks =
        GrpcPeerLinks(PeerIdentity(identity.id, identity.failureDomain, identity.region), control) {
            membership.addressOf(it)
        }
    private val membership: MembershipService =
        MembershipService(localInstance(), bootstrap.seedPeers, liveList, links, control)
    private val settings =
        SettingsService(identity.failureDomain, keyValueStore, links, membership, control)
    private val health = HealthService(control, client) { membership.servers().map { it.member } }
    private val fleetView =
        FleetView(InstanceView(identity.id, identity.failureDomain), membership, health, client)
    private val slots =
        HomeSlotService(
            links,
            control,
            identity.failureDomain,
            fleetView::homeCandidates,
            fleetView::servers,
        )
    private val loadPoller =
        LoadPoller(control, client, slots, health) { membership.servers().map { it.member } }
    private val ledger =
        LedgerService(control, links, keyValueStore, liveInstanceIds = membership::liveInstances)
    private val rollouts =
        RolloutService(
            RolloutPorts(
                keyValueStore,
                weightStore(),
                links,
                settings::current,
                membership::liveInstances,
                fleetView::rolloutServers,
            ),
            control,
        )
    private val quarantine = QuarantineService(links, control, membership::liveInstances)
    private val services =
        RequestServices(
            selfId = identity.id,
            routes = { routes },
            slots = slots,
            ledger = ledger,
            versionSelector = rollouts,
            serverOutcomes = health,
            promptGuard = quarantine,
            metrics = RequestMetrics(meterRegistry),
            nowMillis = control::nowMillis,
        )
    private val callerHandler =
        CallerHandler(
            services,
            ModelRequestHandler(services, client, control.scope),
            ServiceRequestHandler(services, client),
        )
    private val statusReport =
        StatusReport(
            identity.id,
            identity.failureDomain,
            control,
            settings,
            membership,
            health,
            slots,
            rollouts,
            quarantine::parts,
            callerHandler::inFlightCount,
        )
    private val callerServer = HttpServer(eventLoops, callerHandler, httpLimits())
    private val operatorServer =
        HttpServer(
            eventLoops,
            OperatorHandler(
                OperatorDataSource(::notReadyReason, statusReport::status, statusReport::explain),
                meterRegistry,
            ),
        )
    @Volatile private var routes: RouteTable? = null
    @Volatile private var shuttingDown = false

    /** Starts the listeners; the instance becomes ready once settings are active. */
    fun start() {
        links.start(socketAddress(bootstrap.listen.peer))
        control.execute(::startControl)
        operatorServer.start(socketAddress(bootstrap.listen.operator))
        callerServer.start(socketAddress(bootstrap.listen.caller))
        log.info("instance: {} listening for callers on {}", identity.id, bootstrap.listen.caller)
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
        loadPoller.start()
        rollouts.start()
        quarantine.start()
    }

    /**
     * Shuts down gracefully: leaves the fleet, so that other instances take over its homes, and
     * waits up to [DRAIN_MILLIS] for requests in flight.
     */
    fun shutdown() {
        log.info("instance: {} shutting down", identity.id)
        shuttingDown = true
        control.execute(membership::leave)
        // Connections are still accepted until the load balancer has polled /readyz.
        Thread.sleep(READINESS_NOTICE_MILLIS)
        callerServer.drain()
        val deadlineMillis = control.nowMillis() + DRAIN_MILLIS
        while (hasUnfinishedRequests() && control.nowMillis() < deadlineMillis) Thread.sleep(
            DRAIN_POLL_MILLIS
        )
        slots.shutdown()
        callerServer.close()
        operatorServer.close()
        links.close()
        control.close()
        log.info(
            "instance: {} stopped with {} requests unfinished",
            identity.id,
            callerHandler.inFlightCount,
        )
    }

    // An outcome that is not recorded is in doubt for every later request with the same key.
    private fun hasUnfinishedRequests(): Boolean =
        callerHandler.inFlightCount > 0 || openAttemptCount() > 0

    private fun openAttemptCount(): Int {
        val count = java.util.concurrent.CompletableFuture<Int>()
        control.execute { count.complete(ledger.openAttemptCount) }
        return count.get()
    }

    private fun notReadyReason(): String? {
        if (shuttingDown) return "the instance shuts down"
        if (!membership.isListKnown()) return "the live list was not read and no peer has it"
        return when (val readiness = settings.ready()) {
            is Readiness.Ready -> null
            is Readiness.NotReady -> readiness.reason
        }
    }

    private fun localInstance() =
        LocalInstance(
            identity.id,
            bootstrap.listen.peer.toString(),
            identity.failureDomain,
            incarnation = control.nowMillis(),
        )

    // Without a weight store, weights are not checked before a load order; the engine refuses an
    // order whose weights are missing.
    private fun weightStore(): WeightStore =
        bootstrap.platform.weightStore?.let { HttpWeightStore(client, socketAddress(it)) }
            ?: WeightStore { _, _ -> true.right() }

    private fun httpLimits(): HttpLimits =
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

    private fun callBudget(callsPerSecond: Double) =
        CallBudget(callsPerSecond, burst = callsPerSecond.coerceAtLeast(1.0) * BURST_SECONDS)

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val BURST_SECONDS = 2.0
        const val READINESS_NOTICE_MILLIS = 1_000L
        const val DRAIN_MILLIS = 60_000L
        const val DRAIN_POLL_MILLIS = 50L
        val log = LoggerFactory.getLogger(Instance::class.java)

        fun socketAddress(address: Address) = InetSocketAddress(address.ip, address.port)
    }
}
