package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ListSources
import io.lavenderhinge.core.forwarding.StateLag
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LoadReport
import io.lavenderhinge.protocol.v1.StateCopy
import io.lavenderhinge.protocol.v1.StateRequest
import io.lavenderhinge.protocol.v1.StoredValue
import org.slf4j.LoggerFactory

/**
 * Requests from a peer what the store does not provide: the newest configuration and evacuations,
 * and the list of backend servers while the store is unavailable. Confined to the control thread.
 */
internal class PeerStateSync(
    private val links: PeerLinks,
    private val configuration: ConfigurationHolder,
    private val servers: ServerRegistry,
    private val evacuations: EvacuationRegistry,
    /** Time between two calls of a watch, by which it delivers changes late. */
    private val watchPauseMillis: Long,
    private val nowMillis: () -> Long = ::monotonicMillis,
    /** The peers from which this instance gets the server list if it does not watch it. */
    private val serverSources: () -> ListSources = { ListSources() },
) {
    private var isStarted = false
    private var lastRequestMillis = 0L
    private val configurationLag = StateLag()
    private val serverLag = StateLag()
    private val evacuationLag = StateLag()
    private var lastEvacuationCheckMillis: Long? = null

    /** Starts requesting state from peers and answering their requests. */
    fun start() {
        links.onFrame(::receive)
        isStarted = true
    }

    /**
     * Opens the links to the first sources of the server list by a request, so that the first
     * change does not wait for them: that took seconds on a loaded machine.
     */
    fun openLinksToSources() {
        if (!isStarted) return
        serverSources().ranked.take(OPENED_SOURCES).forEach {
            requestNewer(it, needsServers = true)
        }
    }

    /** Returns true if [report] concerns this object; can be called from any thread. */
    fun isConcernedBy(report: LoadReport): Boolean =
        report.configurationVersion > configuration.version ||
            report.serverRevision > servers.readRevision ||
            isConcernedByEvacuations(report)

    /**
     * Requests newer state from the sender of [report] if this instance has been behind for
     * [STORE_GRACE_MILLIS]. Until then the store is expected to deliver the change.
     */
    fun onReport(report: LoadReport) {
        val nowMillis = nowMillis()
        val needsConfiguration = needsConfigurationOf(report, nowMillis)
        val needsServers = needsServersOf(report, nowMillis)
        val needsEvacuations = needsEvacuationsOf(report, nowMillis)
        val needsAny = needsConfiguration || needsServers || needsEvacuations
        if (!isStarted || !needsAny) return
        if (nowMillis - lastRequestMillis < REQUEST_INTERVAL_MILLIS) return
        lastRequestMillis = nowMillis
        lastEvacuationCheckMillis = nowMillis
        requestNewer(report.instanceId, needsServers)
    }

    private fun requestNewer(peer: String, needsServers: Boolean) {
        val request =
            StateRequest.newBuilder()
                .setConfigurationVersion(configuration.version)
                .setServerRevision(if (needsServers) servers.readRevision else Long.MAX_VALUE)
                .setEvacuationRevision(evacuations.state.readRevision)
        links.send(peer, Frame.newBuilder().setStateRequest(request).build())
    }

    private fun needsConfigurationOf(report: LoadReport, nowMillis: Long): Boolean {
        val reported = report.configurationVersion
        val lagMillis = configurationLag.onReported(reported, configuration.version, nowMillis)
        return reported > configuration.version && lagMillis >= STORE_GRACE_MILLIS
    }

    private fun needsServersOf(report: LoadReport, nowMillis: Long): Boolean {
        val reported = report.serverRevision
        val lagMillis = serverLag.onReported(reported, servers.readRevision, nowMillis)
        if (reported <= servers.readRevision) return false
        val isFromSource = serverSources().allowsCopyFrom(report.instanceId, lagMillis)
        if (servers.isFollowingPeers) return isFromSource
        if (lagMillis >= watchPauseMillis + STORE_GRACE_MILLIS) servers.onOvertaken()
        return servers.isStoreLost && (isFromSource || lagMillis >= STORE_GRACE_MILLIS)
    }

    // Nothing else tells of a change if the store is lost, so that it is not waited for.
    private fun needsEvacuationsOf(report: LoadReport, nowMillis: Long): Boolean {
        val reported = report.evacuationRevision
        val own = evacuations.state.readRevision
        val lagMillis = evacuationLag.onReported(reported, own, nowMillis)
        if (reported > own) return evacuations.isStoreLost || lagMillis >= STORE_GRACE_MILLIS
        val checkedMillis = lastEvacuationCheckMillis ?: return isCheckUseful(report)
        return isCheckUseful(report) && nowMillis - checkedMillis >= CHECK_INTERVAL_MILLIS
    }

    private fun isConcernedByEvacuations(report: LoadReport): Boolean =
        report.evacuationRevision > evacuations.state.readRevision || isCheckUseful(report)

    // A peer that has started after the end of an evacuation does not report that change, since the
    // store keeps no trace of it.
    private fun isCheckUseful(report: LoadReport): Boolean =
        evacuations.isStoreLost &&
            evacuations.state.domains.isNotEmpty() &&
            report.evacuationRevision > 0

    private fun receive(from: String, frame: Frame) {
        when (frame.bodyCase) {
            Frame.BodyCase.STATE_REQUEST -> answer(from, frame.stateRequest)
            Frame.BodyCase.STATE_COPY -> accept(from, frame.stateCopy)
            else -> Unit
        }
    }

    private fun answer(to: String, request: StateRequest) {
        val copy = StateCopy.newBuilder()
        if (request.configurationVersion < configuration.version) {
            copy.configuration = configuration.text
        }
        if (request.serverRevision < servers.revision) {
            copy.serverRevision = servers.revision
            val keptMillis = servers.keptMillis()
            servers.entries.forEach { (key, value) ->
                val stored = StoredValue.newBuilder().setKey(key).setValue(value)
                keptMillis[key]?.let(stored::setKeptMillis)
                copy.addServers(stored)
            }
        }
        addEvacuations(copy, request.evacuationRevision)
        links.send(to, Frame.newBuilder().setStateCopy(copy).build())
    }

    private fun addEvacuations(copy: StateCopy.Builder, knownRevision: Long) {
        val state = evacuations.state
        if (knownRevision >= state.readRevision) return
        copy.evacuationRevision =
            if (knownRevision < state.revision) state.revision else state.readRevision
        copy.addAllEvacuatedDomains(state.domains)
    }

    private fun accept(from: String, copy: StateCopy) {
        if (copy == StateCopy.getDefaultInstance()) return
        log.info("copies: {} sent what it has newer", from)
        // Evacuations come first: a new configuration may open the instance for requests.
        if (copy.evacuationRevision > 0) {
            val domains = copy.evacuatedDomainsList.toSet()
            evacuations.onPeerCopy(from, domains, copy.evacuationRevision)
        }
        if (copy.configuration.isNotEmpty()) {
            configuration.applyIfNewer(copy.configuration, "instance $from")
        }
        if (copy.serverRevision > 0) {
            val values =
                copy.serversList.map { VersionedValue(it.key, it.value, copy.serverRevision) }
            val keptMillis =
                copy.serversList.filter { it.hasKeptMillis() }.associate { it.key to it.keptMillis }
            servers.onPeerCopy(values, copy.serverRevision, keptMillis)
        }
    }

    private companion object {
        const val REQUEST_INTERVAL_MILLIS = 300L
        /** The preferred source, and the one that replaces it first. */
        const val OPENED_SOURCES = 2
        const val STORE_GRACE_MILLIS = 400L
        /** Evacuations last for many seconds, so that a later end of one costs little. */
        const val CHECK_INTERVAL_MILLIS = 2_000L
        val log = LoggerFactory.getLogger(PeerStateSync::class.java)
    }
}
