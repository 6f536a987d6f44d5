package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.platform.ClientRequestHeaders
import org.slf4j.LoggerFactory

/** Writes one log line per request with its routing inputs, attempts and outcome. */
internal class RequestLog(
    private val configurationVersion: () -> Long,
    private val metrics: GatewayMetrics,
) {
    /** Logs the end of an admitted request. */
    fun ended(trace: RequestTrace, nowMillis: Long) {
        log.atInfo()
            .addKeyValue("request", trace.requestId)
            .addKeyValue("route", trace.route.name)
            .addKeyValue("service", trace.service)
            .addKeyValue("workspace", trace.admitted.workspace?.name)
            .addKeyValue("priority", trace.admitted.priority)
            .addKeyValue("admittedBy", trace.admittedVersion)
            .addKeyValue("configuration", configurationVersion())
            .addKeyValue("status", trace.status)
            .addKeyValue("outcome", trace.result)
            .addKeyValue("refusal", trace.refusal)
            .addKeyValue("failure", trace.failure?.text)
            .addKeyValue("events", trace.eventCount)
            .addKeyValue("sends", trace.history)
            .addKeyValue("lostParts", trace.lostPromptParts)
            .addKeyValue("millis", nowMillis - trace.arrivedMillis)
            .log("request: ended")
        metrics.requestEnded(trace, nowMillis)
    }

    /** Logs a request that was not admitted. */
    fun rejected(
        clientHeaders: ClientRequestHeaders,
        host: String,
        path: String,
        rejected: Admission.Rejected,
    ) {
        log.atInfo()
            .addKeyValue("request", clientHeaders.requestId)
            .addKeyValue("host", host)
            .addKeyValue("path", path)
            .addKeyValue("configuration", configurationVersion())
            .addKeyValue("reason", rejected.reason)
            .addKeyValue("inputs", rejected.details)
            .log("request: rejected")
        metrics.requestRejected(rejected.reason)
    }

    private companion object {
        val log = LoggerFactory.getLogger(RequestLog::class.java)
    }
}
