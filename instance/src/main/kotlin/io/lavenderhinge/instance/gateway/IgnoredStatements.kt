package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.IgnoredStatedLoad
import io.lavenderhinge.core.forwarding.StatedLoadFault
import org.slf4j.LoggerFactory

/**
 * Counts the malformed statements of backend servers, and logs them once a minute for each server.
 * Confined to the traffic thread.
 */
internal class IgnoredStatements(
    /** Called with the reason for which a statement is ignored, for the metrics. */
    private val onCounted: (reason: String) -> Unit = {}
) {
    private val loggedMillis = HashMap<String, Long>()

    /** Number of statements that were ignored. */
    var count = 0L
        private set

    /** Records that [field] of a response of [serverId] was ignored. */
    fun onIgnored(serverId: String, field: String, nowMillis: Long) {
        count++
        onCounted(MALFORMED)
        val lastMillis = loggedMillis[serverId]
        if (lastMillis != null && nowMillis - lastMillis < LOG_INTERVAL_MILLIS) return
        if (loggedMillis.size >= MAX_SERVERS) loggedMillis.clear()
        loggedMillis[serverId] = nowMillis
        log.warn("server: ignoring malformed {} of {}, {} ignored so far", field, serverId, count)
    }

    /** Records that a figure of the load that a server states was ignored. */
    fun onIgnored(ignored: IgnoredStatedLoad) {
        onCounted("load ${ignored.fault.name.lowercase()}")
        if (ignored.fault == StatedLoadFault.STUCK) {
            log.warn("server: {} states a load that does not change, it is ignored", ignored.run)
        }
    }

    private companion object {
        const val MALFORMED = "malformed"
        const val LOG_INTERVAL_MILLIS = 60_000L
        const val MAX_SERVERS = 1_024
        val log = LoggerFactory.getLogger(IgnoredStatements::class.java)
    }
}
