package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ServerEjection
import org.slf4j.LoggerFactory

/** Writes a log line for each ejection of a server, and counts it. */
internal class EjectionLog(private val metrics: GatewayMetrics) {
    fun onEjection(ejection: ServerEjection) {
        log.info(
            "server: {} is ejected, in force {}: it fails {} of its answers, {} fail {}",
            ejection.run,
            ejection.isInForce,
            percent(ejection.failureFraction),
            ejection.otherServers,
            percent(ejection.othersFailureFraction),
        )
        metrics.serverEjected(ejection.service)
    }

    private fun percent(fraction: Double) = "${(fraction * PERCENT).toInt()} %"

    private companion object {
        const val PERCENT = 100
        val log = LoggerFactory.getLogger(EjectionLog::class.java)
    }
}
