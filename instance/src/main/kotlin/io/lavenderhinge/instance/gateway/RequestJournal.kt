package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.platform.ClientRequestHeaders
import org.slf4j.LoggerFactory

/** Writes one log line for each request, with what decided it, its sends and its outcome. */
internal class RequestJournal(
    private val configurationVersion: () -> Long,
    private val metrics: GatewayMetrics,
) {
    /** A request that was admitted has ended. */
    fun record(trail: RequestTrail, nowMillis: Long) {
        log.atInfo()
            .addKeyValue("request", trail.requestId)
            .addKeyValue("route", trail.route.name)
            .addKeyValue("service", trail.service)
            .addKeyValue("workspace", trail.admitted.workspace?.name)
            .addKeyValue("priority", trail.admitted.priority)
            .addKeyValue("configuration", configurationVersion())
            .addKeyValue("status", trail.status)
            .addKeyValue("refusal", trail.refusal)
            .addKeyValue("failure", trail.failure)
            .addKeyValue("sends", trail.history)
            .addKeyValue("millis", nowMillis - trail.arrivedMillis)
            .log("request: ended")
        metrics.ended(trail, nowMillis)
    }

    /** A request was answered without being admitted. */
    fun rejected(
        facts: ClientRequestHeaders,
        host: String,
        path: String,
        rejected: Admission.Rejected,
    ) {
        log.atInfo()
            .addKeyValue("request", facts.requestId)
            .addKeyValue("host", host)
            .addKeyValue("path", path)
            .addKeyValue("configuration", configurationVersion())
            .addKeyValue("reason", rejected.reason)
            .addKeyValue("inputs", rejected.details)
            .log("request: rejected")
        metrics.rejected(rejected.reason)
    }

    private companion object {
        val log = LoggerFactory.getLogger(RequestJournal::class.java)
    }
}
