package io.lavenderhinge.instance.gateway

import arrow.core.Either
import arrow.core.NonEmptyList
import io.lavenderhinge.core.forwarding.QuotaLimiter
import io.lavenderhinge.core.forwarding.RequestAdmission
import io.lavenderhinge.core.forwarding.RolloutOrder
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.GatewaySettings
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.http.EarlyListener
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.platform.PlatformKeys
import io.lavenderhinge.platform.PlatformStore
import java.net.InetSocketAddress
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * One instance on the users' platform: wires the decisions of the core to clients, backend servers,
 * the store and the other instances.
 */
class Gateway(@Volatile private var settings: GatewaySettings) {
    private val identity = settings.identity
    private val loop = TrafficLoop()
    private val control = ControlThread()
    private val client = HttpClient(loop.group)
    private val store = PlatformStore(client, socketAddress(settings.store))
    private val gate = StartGate()
    private val configuration = ConfigurationHolder(gate)
    private val quotas = QuotaLimiter(settings.bounds.quotaTolerance)
    private val broker = SlotBroker(identity.failureDomain, loop)
    private val servers = ServerWatch(control, ::publish)
    private val exchange =
        LoadExchange(
            ReportIdentity(identity.id, System.currentTimeMillis(), settings.listen.peer),
            // Every instance uses the same port for its peers.
            settings.seeds.map { Address(it.ip, settings.listen.peer.port) },
            loop,
            broker,
            quotas,
            KnownVersions(configuration::version) { servers.revision },
        )
    private val links =
        GrpcPeerLinks(PeerIdentity(identity.id, identity.failureDomain, identity.region), control) {
            exchange.address(it)?.let(::socketAddress)
        }
    private val copies = StateCopies(links, control, configuration, servers)
    private val members =
        MemberRegistry(identity.id, settings.listen.peer, store, control) { members ->
            loop.execute { exchange.onMembers(members) }
        }
    private val rolloutDuty =
        RolloutDuty(identity.id, store, control.scope, loop::nowMillis) { order, verdict ->
            loop.execute { broker.rollouts.onOrderEnded(order, verdict) }
        }
    private val metrics = GatewayMetrics(control)
    private val services =
        ForwardingServices(
            loop,
            client,
            broker,
            ServiceRetryBudget(settings.bounds.repeatRatio * OWN_PART, settings.bounds.repeatSlack),
            RequestJournal(configuration::version, metrics),
            instanceCount = { exchange.peerIds.size + 1 },
            tokensPerEvent = { configuration.table?.service(it)?.tokensPerEvent ?: 1 },
        )
    private val forwarder =
        RequestForwarder(services, configuration, RequestAdmission(quotas), gate)
    private val callerServer = HttpServer(loop.group, forwarder, CALLER_LIMITS)
    private val readyServer = HttpServer(loop.group, HttpHandler { it.respond(readiness()) })
    private val status =
        GatewayStatus(
            identity.id,
            configuration,
            servers,
            gate,
            exchange::peerIds,
            forwarder::inFlightCount,
        )
    private val operatorServer =
        HttpServer(
            loop.group,
            HttpHandler { OperatorHandler(status.view(), metrics.registry).handle(it) },
        )
    @Volatile private var isLeaving = false

    /**
     * Starts to listen; the instance is ready once a configuration and the servers are known.
     * [early] holds the connections of clients that came before.
     */
    fun start(early: EarlyListener? = null) {
        readyServer.start(socketAddress(settings.listen.ready))
        startCallerServer(early)
        operatorServer.start(socketAddress(settings.listen.operator))
        control.scope.launch { storeWatch().run() }
        servers.start()
        loop.execute {
            exchange.onReport = { report -> control.execute { copies.onReport(report) } }
        }
        exchange.start()
        loop.every(QUOTA_MILLIS, ::tickQuotas)
        loop.every(ROLLOUT_MILLIS, ::tickRollouts)
        control.after(LINKS_DELAY_MILLIS) {
            links.start(socketAddress(settings.listen.peer))
            copies.start()
        }
        members.start()
        log.info("gateway: {} listens for clients on {}", identity.id, settings.listen.caller)
    }

    private fun startCallerServer(early: EarlyListener?) {
        val address = socketAddress(settings.listen.caller)
        if (early != null && early.address == address) {
            callerServer.start(early)
            return
        }
        if (early != null) {
            log.warn(
                "gateway: --listen {} is not the caller address of the settings",
                early.address,
            )
            early.close()
        }
        callerServer.start(address)
    }

    /**
     * Takes over the bounds of the settings that were read again. Addresses stay as they are until
     * the next start; settings with faults change nothing.
     */
    fun reload(result: Either<NonEmptyList<SettingsFault>, GatewaySettings>) =
        result.fold(
            { faults ->
                faults.forEach { log.warn("gateway: settings were not reloaded: {}", it.message) }
            },
            { read ->
                settings = settings.copy(bounds = read.bounds)
                log.info("gateway: settings were reloaded, bounds are {}", read.bounds)
            },
        )

    /**
     * Reports not ready, serves until clients have left, and returns when the requests in flight
     * have ended or most of the grace period is over.
     */
    fun shutdown() {
        log.info("gateway: {} shuts down", identity.id)
        val endMillis = loop.nowMillis() + settings.bounds.gracePeriodMillis - LEFT_FOR_EXIT_MILLIS
        isLeaving = true
        members.stop()
        callerServer.endKeepAlive()
        Thread.sleep(NOT_READY_MILLIS)
        callerServer.drain()
        while (forwarder.inFlightCount > 0 && loop.nowMillis() < endMillis) {
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        log.info("gateway: {} ends with {} in flight", identity.id, forwarder.inFlightCount)
        // The last answers are still on their way out of the event loop.
        Thread.sleep(DRAIN_POLL_MILLIS)
    }

    private fun storeWatch(): StoreWatch {
        val listeners =
            mapOf(
                PlatformKeys.OPERATOR_PREFIX to OperatorWatch(configuration, rolloutOrders()),
                PlatformKeys.ROLLOUT_STATUS_PREFIX to rolloutDuty,
                PlatformKeys.SERVER_PREFIX to servers,
                PlatformKeys.MEMBER_PREFIX to members,
            )
        return StoreWatch(
            store,
            PlatformKeys.ALL_PREFIX,
            PrefixListeners(listeners),
            WATCH_MILLIS,
            WATCH_PAUSE_MILLIS,
        )
    }

    private fun publish(entries: List<ServerEntry>) {
        loop.execute {
            broker.onServers(entries)
            gate.serversKnown()
        }
    }

    private fun rolloutOrders() =
        object : RolloutOrders {
            override fun onOrder(order: RolloutOrder) =
                loop.execute { broker.rollouts.onOrder(order, loop.nowMillis()) }

            override fun onOrderRemoved(service: String) =
                loop.execute { broker.rollouts.onOrderRemoved(service) }
        }

    private fun tickRollouts() {
        val nowMillis = loop.nowMillis()
        broker.rollouts.advance(nowMillis).forEach { change ->
            log.info(
                "rollout: {} to {} enters {}, evidence {}",
                change.order.service,
                change.order.targetVersion,
                change.stage,
                change.evidence,
            )
        }
        val peerIds = exchange.peerIds.toSet()
        val verdicts = broker.rollouts.verdicts(peerIds, nowMillis)
        if (verdicts.isEmpty()) return
        control.execute { rolloutDuty.report(verdicts, peerIds) }
    }

    private fun tickQuotas() {
        val workspaces = configuration.table?.config?.workspaces.orEmpty()
        quotas.tick(exchange.peerIds, workspaces, loop.nowMillis())
    }

    private fun readiness() =
        problem(if (gate.isOpen && !isLeaving) HttpStatus.OK else HttpStatus.UNAVAILABLE)

    private companion object {
        /** Half of the budget of repeats; clients' own retries and rejections may use the rest. */
        const val OWN_PART = 0.5
        /** Also the longest time that a connection to the store is silent without being noticed. */
        const val WATCH_MILLIS = 2_000L
        /** What is written in this time comes with one call. */
        const val WATCH_PAUSE_MILLIS = 60L
        const val QUOTA_MILLIS = 200L
        const val ROLLOUT_MILLIS = 100L
        /** Clients and the store go first at a start; peers matter only when the store is away. */
        const val LINKS_DELAY_MILLIS = 1_500L
        /** The platform stops sending new connections after two failed checks a second apart. */
        const val NOT_READY_MILLIS = 2_300L
        const val DRAIN_POLL_MILLIS = 25L
        const val LEFT_FOR_EXIT_MILLIS = 700L
        val CALLER_LIMITS =
            HttpLimits(
                requestLineBytes = 8_192,
                headBytes = 32_768,
                bodyBytes = 8_388_608,
                pipelinedRequests = 64,
            )
        val log = LoggerFactory.getLogger(Gateway::class.java)

        fun socketAddress(address: Address) = InetSocketAddress(address.ip, address.port)
    }
}
