package io.lavenderhinge.instance.gateway

import arrow.core.Either
import arrow.core.NonEmptyList
import io.lavenderhinge.core.forwarding.ColdServer
import io.lavenderhinge.core.forwarding.Dispatcher
import io.lavenderhinge.core.forwarding.QuotaLimiter
import io.lavenderhinge.core.forwarding.QuotaStart
import io.lavenderhinge.core.forwarding.QuotaStartEnd
import io.lavenderhinge.core.forwarding.RequestAdmission
import io.lavenderhinge.core.forwarding.RolloutTracker
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.core.forwarding.StoreContact
import io.lavenderhinge.core.forwarding.WatchPacing
import io.lavenderhinge.core.settings.Address
import io.lavenderhinge.core.settings.GatewaySettings
import io.lavenderhinge.core.settings.SettingsFault
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.HttpLimits
import io.lavenderhinge.http.HttpServer
import io.lavenderhinge.http.HttpStatus
import io.lavenderhinge.http.PreboundListener
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.operator.OperatorHandler
import io.lavenderhinge.instance.peer.GrpcPeerLinks
import io.lavenderhinge.instance.peer.PeerIdentity
import io.lavenderhinge.instance.quarantine.QuarantineLog
import io.lavenderhinge.platform.PlatformStore
import io.lavenderhinge.protocol.v1.LoadReport
import java.net.InetSocketAddress
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * One gateway instance: connects the decision logic of the core to clients, backend servers, the
 * store and the other instances.
 */
class Gateway(@Volatile private var settings: GatewaySettings) {
    private val identity = settings.identity
    private val loop = TrafficLoop()
    private val control = ControlThread()
    private val client = HttpClient(loop.group)
    private val store = PlatformStore(client, socketAddress(settings.store))
    private val gate = ReadinessGate()
    private val watchPacing = WatchPacing.of(settings.bounds.propagation)
    private val configuration = ConfigurationHolder(gate, watchPacing.staleAfterMillis)
    private val evacuations = EvacuationRegistry()
    private val quotaStart = QuotaStart(QUOTA_START_MILLIS)
    private val quotas = QuotaLimiter(settings.bounds.quotaTolerance, quotaStart)
    private val allocator =
        SlotAllocator(
            identity.failureDomain,
            loop,
            drainMillis = settings.bounds.propagation.drainMillis,
            features = settings.scheduling,
            cacheTokens = { configuration.table?.service(it)?.cacheTokens },
            coldTolerance = settings.bounds.coldTolerance,
            rollouts = RolloutTracker(settings.bounds.exposure),
        )
    private val servers =
        ServerRegistry(control, StoreContact(watchPacing.staleAfterMillis), publish = ::publish)
    private val watcherRole = WatcherRole(identity.id)
    private val loadReports =
        LoadReportExchange(
            ReportIdentity(identity.id, System.currentTimeMillis(), settings.listen.peer),
            // All instances use the same peer port.
            settings.seeds.map { Address(it.ip, settings.listen.peer.port) },
            loop,
            allocator,
            quotas,
            KnownVersions(
                configuration = configuration::version,
                servers = { servers.revision },
                evacuations = { evacuations.state.revision },
                isWatchingServers = { watcherRole.isWatchingAll.value && !servers.isStoreLost },
                storeAnswerAgeMillis = servers::storeAnswerAgeMillis,
            ),
        )
    private val links =
        GrpcPeerLinks(PeerIdentity(identity.id, identity.failureDomain, identity.region), control) {
            loadReports.address(it)?.let(::socketAddress)
        }
    private val stateSync =
        PeerStateSync(
            links,
            configuration,
            servers,
            evacuations,
            watchPacing.pauseMillis,
            serverSources = watcherRole::sources,
        )
    private val members =
        MemberRegistry(
            identity.id,
            settings.listen.peer,
            store,
            control,
            onMembers = { loop.execute { onMembersListed(it) } },
            onListed = { loop.execute(::onSelfListed) },
        )
    private val rollouts =
        RolloutRunner(
            identity.id,
            store,
            control,
            loop,
            allocator.rollouts,
            watcherRole,
            loadReports::peerIds,
        )
    private val storeSubscription =
        StoreSubscription(
            store,
            watchPacing,
            watcherRole,
            StoreListeners(
                evacuations = evacuations,
                operator = OperatorStateListener(configuration, rollouts),
                rolloutStatus = rollouts.statusListener,
                servers = servers,
                members = members,
            ),
        )
    private val metrics = GatewayMetrics(control, evacuations::state)
    private val ignoredStatements = IgnoredStatements(metrics::statementIgnored)
    private val forwardingContext =
        ForwardingContext(
            loop,
            client,
            allocator,
            ServiceRetryBudget(
                settings.bounds.repeatRatio * GATEWAY_RETRY_SHARE,
                settings.bounds.repeatSlack,
            ),
            RequestLog(configuration::version, metrics),
            instanceCount = { loadReports.peerIds.size + 1 },
            tokensPerEvent = { configuration.table?.service(it)?.tokensPerEvent ?: 1 },
            maySendTo = evacuations::allows,
            ignoredStatements = ignoredStatements,
            returnCharge = { service, charge ->
                allocator.hasQuotaRefunds(service) && quotas.giveBack(charge, loop.nowMillis())
            },
        )
    private val forwarder =
        RequestForwarder(forwardingContext, configuration, RequestAdmission(quotas), gate)
    private val quarantineLog = QuarantineLog()
    private val ejectionLog = EjectionLog(metrics)
    private val spilloverLog = SpilloverLog(metrics)
    private val loopDelay = LoopDelayMonitor(loop, metrics, forwarder::inFlightCount)
    private val clientServer = HttpServer(loop.group, forwarder, CLIENT_LIMITS)
    private val readinessServer =
        HttpServer(loop.group, HttpHandler { it.respond(readinessResponse()) })
    private val status =
        GatewayStatus(
            identity.id,
            configuration,
            servers,
            gate,
            settings.regions,
            EvacuationStatus(evacuations, allocator),
            loadReports::peerIds,
            forwarder::inFlightCount,
            quarantineLog::parts,
            quarantineLog::requests,
        )
    private val operatorServer =
        HttpServer(
            loop.group,
            HttpHandler { OperatorHandler(status.view(), metrics.registry).handle(it) },
        )
    /** The newest list of servers until it is in use. Confined to the traffic thread. */
    private var listedServers: List<ServerEntry>? = null
    @Volatile private var isStarted = false
    @Volatile private var isShuttingDown = false

    /**
     * Starts the listeners. The instance is ready once a configuration and the server list are
     * available. [prebound] holds client connections that were opened during startup.
     */
    fun start(prebound: PreboundListener? = null) {
        allocator.configure {
            evacuations = this@Gateway.evacuations::state
            regions = settings.regions
        }
        readinessServer.start(socketAddress(settings.listen.ready))
        startClientServer(prebound)
        isStarted = true
        operatorServer.start(socketAddress(settings.listen.operator))
        evacuations.onChange = ::onEvacuationsChanged
        control.scope.launch { storeSubscription.run() }
        servers.start()
        loop.execute { loadReports.onReport = ::onPeerReport }
        loop.execute { quotaStart.onEnd = ::onQuotaStartEnded }
        loop.execute {
            allocator.quarantine.onChange = quarantineLog::onChange
            allocator.configure { addListeners() }
        }
        loadReports.start()
        loop.every(QUOTA_INTERVAL_MILLIS, ::tickQuotas)
        loop.execute(loopDelay::start)
        rollouts.start()
        loop.after(FOLLOWER_DELAY_MILLIS) {
            loop.every(WATCHER_INTERVAL_MILLIS, ::updateWatcherRole)
        }
        control.after(PEER_LINKS_DELAY_MILLIS) {
            links.start(socketAddress(settings.listen.peer))
            stateSync.start()
        }
        members.start()
        log.info("gateway: {} listens for clients on {}", identity.id, settings.listen.caller)
    }

    private fun Dispatcher.addListeners() {
        limitColdServers({ configuration.table?.service(it)?.coldRule }, ::onColdServer)
        onStatementChange { log.info("server: {} states {}", it.run, it) }
        onRateLimitChange {
            log.info("limit: {} takes {} requests per second", it.run, it.limitPerSecond)
        }
        onIgnoredLoad = ignoredStatements::onIgnored
        onEjection = ejectionLog::onEjection
        onSpillover = spilloverLog::onEvent
    }

    private fun startClientServer(prebound: PreboundListener?) {
        val address = socketAddress(settings.listen.caller)
        if (prebound != null && prebound.address == address) {
            clientServer.start(prebound)
            return
        }
        if (prebound != null) {
            log.warn(
                "gateway: ignoring --listen {}: it differs from the caller address in the settings",
                prebound.address,
            )
            prebound.close()
        }
        clientServer.start(address)
    }

    /**
     * Applies the bounds of reloaded settings. Addresses do not change until the next start, and
     * invalid settings have no effect.
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
     * Reports not ready, keeps serving until the platform has stopped sending new connections, then
     * drains. Returns when no client connection is open or most of the grace period is over. A
     * request that is still being received keeps its connection open.
     */
    fun shutdown() {
        log.info("gateway: {} shuts down", identity.id)
        if (!isStarted) return
        val endMillis = loop.nowMillis() + settings.bounds.gracePeriodMillis - EXIT_RESERVE_MILLIS
        isShuttingDown = true
        members.stop()
        clientServer.disableKeepAlive()
        Thread.sleep(NOT_READY_PERIOD_MILLIS)
        clientServer.drain()
        while (clientServer.connectionCount > 0 && loop.nowMillis() < endMillis) {
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        log.info("gateway: {} ends with {} in flight", identity.id, forwarder.inFlightCount)
        // Lets the event loop write the last responses.
        Thread.sleep(DRAIN_POLL_MILLIS)
    }

    private fun onMembersListed(members: Map<String, Address>) {
        loadReports.onMembers(members)
        allocator.onMembers(identity.id, members.keys)
    }

    private fun onColdServer(cold: ColdServer) {
        log.info(
            "server: {} is cold for {} ms, {} requests per second",
            cold.run,
            cold.remainingMillis,
            cold.perSecond,
        )
        metrics.serverCold()
        // Other instances send to it as to a warm server until they hear of it.
        if (!cold.isFromPeer) loadReports.onUrgentChange()
    }

    private fun onPeerReport(report: LoadReport) {
        watcherRole.onReport(report, loop.nowMillis())
        if (stateSync.isConcernedBy(report)) control.execute { stateSync.onReport(report) }
        if (!report.hasStoreAnswerAgeMillis()) return
        val answeredMillis = loop.nowMillis() - report.storeAnswerAgeMillis
        if (!servers.isNewPeerAnswer(answeredMillis)) return
        control.execute { servers.onPeerAnswer(answeredMillis) }
    }

    private fun updateWatcherRole() {
        val watchesAll = watcherRole.due(gate.isOpen, loadReports.peerIds, loop.nowMillis())
        if (watchesAll == watcherRole.isWatchingAll.value) return
        // The list of instances is not read by followers, so that reports decide who is alive.
        if (!watchesAll) loadReports.onMembers(emptyMap())
        control.execute {
            servers.isFollowingPeers = !watchesAll
            watcherRole.enter(watchesAll)
            if (!watchesAll) stateSync.openLinksToSources()
        }
    }

    private fun publish(entries: List<ServerEntry>) {
        evacuations.onServers(entries)
        loop.execute {
            listedServers = entries
            useListedServers()
            gate.onServersAvailable()
            loadReports.onStateChanged()
        }
    }

    private fun onEvacuationsChanged() =
        loop.execute {
            useListedServers()
            gate.onEvacuationsKnown()
            allocator.onEvacuationsChanged()
            loadReports.onStateChanged()
        }

    // Peers may pass on a list of servers before it is known which of them are evacuated.
    private fun useListedServers() {
        if (!evacuations.state.isKnown) return
        listedServers?.let(allocator::onServers)
        listedServers = null
    }

    private fun onSelfListed() {
        quotas.onListed()
        tickQuotas()
    }

    private fun onQuotaStartEnded(end: QuotaStartEnd) =
        log.info(
            "quotas: start ended after {} ms, shared with {} peers by {}, " +
                "usage assumed of {}, oldest report {} ms ago",
            end.durationMillis,
            end.peers,
            end.evidence,
            end.unreportedPeers,
            end.oldestReportMillis,
        )

    private fun tickQuotas() {
        val workspaces = configuration.table?.config?.workspaces.orEmpty()
        quotas.tick(loadReports.peerIds, workspaces, loop.nowMillis())
    }

    private fun readinessResponse() =
        emptyResponse(if (gate.isOpen && !isShuttingDown) HttpStatus.OK else HttpStatus.UNAVAILABLE)

    private companion object {
        /**
         * Share of the retry budget for the gateway; the rest covers clients' retries and
         * rejections.
         */
        const val GATEWAY_RETRY_SHARE = 0.5
        const val QUOTA_INTERVAL_MILLIS = 200L
        /** Exceeds the time for which requests wait, which are rejected while nothing is known. */
        const val QUOTA_START_MILLIS = 2_000L
        /** By then, instances that start together have registered and read each other's entries. */
        const val FOLLOWER_DELAY_MILLIS = 4_000L
        const val WATCHER_INTERVAL_MILLIS = 400L
        /**
         * Startup serves clients and the store first; peers matter only if the store is
         * unavailable.
         */
        const val PEER_LINKS_DELAY_MILLIS = 1_500L
        /** The platform stops sending connections after two failed readiness checks 1 s apart. */
        const val NOT_READY_PERIOD_MILLIS = 2_300L
        const val DRAIN_POLL_MILLIS = 25L
        const val EXIT_RESERVE_MILLIS = 700L
        val CLIENT_LIMITS =
            HttpLimits(
                maxRequestLineBytes = 8_192,
                maxHeadBytes = 32_768,
                maxBodyBytes = 8_388_608,
                maxPipelinedRequests = 64,
            )
        val log = LoggerFactory.getLogger(Gateway::class.java)

        fun socketAddress(address: Address) = InetSocketAddress(address.ip, address.port)
    }
}
