package io.lavenderhinge.instance.gateway

import org.slf4j.LoggerFactory

/**
 * Counts the malformed statements of backend servers, and logs them once a minute for each server.
 * Confined to the traffic thread.
 */
internal class IgnoredStatements {
    private val loggedMillis = HashMap<String, Long>()

    /** Number of statements that were ignored. */
    var count = 0L
        private set

    /** Records that [field] of a response of [serverId] was ignored. */
    fun onIgnored(serverId: String, field: String, nowMillis: Long) {
        count++
        val lastMillis = loggedMillis[serverId]
        if (lastMillis != null && nowMillis - lastMillis < LOG_INTERVAL_MILLIS) return
        if (loggedMillis.size >= MAX_SERVERS) loggedMillis.clear()
        loggedMillis[serverId] = nowMillis
        log.warn("server: ignoring malformed {} of {}, {} ignored so far", field, serverId, count)
    }

    private companion object {
        const val LOG_INTERVAL_MILLIS = 60_000L
        const val MAX_SERVERS = 1_024
        val log = LoggerFactory.getLogger(IgnoredStatements::class.java)
    }
}
