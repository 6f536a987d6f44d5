package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.LoadReport
import io.lavenderhinge.protocol.v1.StateCopy
import io.lavenderhinge.protocol.v1.StateRequest
import io.lavenderhinge.protocol.v1.StoredValue
import org.slf4j.LoggerFactory

/**
 * Gets from a peer what the store does not tell: the newest configuration, and the list of backend
 * servers while the store is away. Confined to the control thread.
 */
internal class StateCopies(
    private val links: PeerLinks,
    private val control: ControlThread,
    private val configuration: ConfigurationHolder,
    private val servers: ServerWatch,
) {
    private var isStarted = false
    private var askedMillis = 0L
    private var lackingSinceMillis: Long? = null

    /** Starts to answer and to ask peers. */
    fun start() {
        links.onFrame(::receive)
        isStarted = true
    }

    /**
     * Asks the sender of [report] for what it has newer. What the store itself tells an instance
     * within [LACK_MILLIS] is not asked for.
     */
    fun onReport(report: LoadReport) {
        val lacksConfiguration = report.configurationVersion > configuration.version
        val lacksServers = servers.isStale && report.serverRevision > servers.revision
        if (!lacksConfiguration && !lacksServers) {
            lackingSinceMillis = null
            return
        }
        val nowMillis = control.nowMillis()
        val sinceMillis = lackingSinceMillis ?: nowMillis
        lackingSinceMillis = sinceMillis
        if (nowMillis - sinceMillis < LACK_MILLIS) return
        if (!isStarted || nowMillis - askedMillis < ASK_MILLIS) return
        askedMillis = nowMillis
        val request =
            StateRequest.newBuilder()
                .setConfigurationVersion(configuration.version)
                .setServerRevision(if (servers.isStale) servers.revision else Long.MAX_VALUE)
        links.send(report.instanceId, Frame.newBuilder().setStateRequest(request).build())
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
            servers.stored.forEach { (key, value) ->
                copy.addServers(StoredValue.newBuilder().setKey(key).setValue(value))
            }
        }
        links.send(to, Frame.newBuilder().setStateCopy(copy).build())
    }

    private fun accept(from: String, copy: StateCopy) {
        log.info("copies: {} sent what it has newer", from)
        if (copy.configuration.isNotEmpty()) {
            configuration.offer(copy.configuration, "instance $from")
        }
        if (copy.serverRevision > 0) {
            val values =
                copy.serversList.map { VersionedValue(it.key, it.value, copy.serverRevision) }
            servers.onPeerCopy(values, copy.serverRevision)
        }
    }

    private companion object {
        const val ASK_MILLIS = 300L
        const val LACK_MILLIS = 400L
        val log = LoggerFactory.getLogger(StateCopies::class.java)
    }
}
