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
 * Requests from a peer what the store does not provide: the newest configuration, and the list of
 * backend servers while the store is unavailable. Confined to the control thread.
 */
internal class PeerStateSync(
    private val links: PeerLinks,
    private val configuration: ConfigurationHolder,
    private val servers: ServerRegistry,
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

    /** Starts requesting state from peers and answering their requests. */
    fun start() {
        links.onFrame(::receive)
        isStarted = true
    }

    /** Returns true if [report] concerns this object; can be called from any thread. */
    fun isConcernedBy(report: LoadReport): Boolean =
        report.configurationVersion > configuration.version ||
            report.serverRevision > servers.readRevision

    /**
     * Requests newer state from the sender of [report] if this instance has been behind for
     * [STORE_GRACE_MILLIS]. Until then the store is expected to deliver the change.
     */
    fun onReport(report: LoadReport) {
        val nowMillis = nowMillis()
        val needsConfiguration = needsConfigurationOf(report, nowMillis)
        val needsServers = needsServersOf(report, nowMillis)
        if (!isStarted || !(needsConfiguration || needsServers)) return
        if (nowMillis - lastRequestMillis < REQUEST_INTERVAL_MILLIS) return
        lastRequestMillis = nowMillis
        val request =
            StateRequest.newBuilder()
                .setConfigurationVersion(configuration.version)
                .setServerRevision(if (needsServers) servers.readRevision else Long.MAX_VALUE)
        links.send(report.instanceId, Frame.newBuilder().setStateRequest(request).build())
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
            servers.entries.forEach { (key, value) ->
                copy.addServers(StoredValue.newBuilder().setKey(key).setValue(value))
            }
        }
        links.send(to, Frame.newBuilder().setStateCopy(copy).build())
    }

    private fun accept(from: String, copy: StateCopy) {
        log.info("copies: {} sent what it has newer", from)
        if (copy.configuration.isNotEmpty()) {
            configuration.applyIfNewer(copy.configuration, "instance $from")
        }
        if (copy.serverRevision > 0) {
            val values =
                copy.serversList.map { VersionedValue(it.key, it.value, copy.serverRevision) }
            servers.onPeerCopy(values, copy.serverRevision)
        }
    }

    private companion object {
        const val REQUEST_INTERVAL_MILLIS = 300L
        const val STORE_GRACE_MILLIS = 400L
        val log = LoggerFactory.getLogger(PeerStateSync::class.java)
    }
}
