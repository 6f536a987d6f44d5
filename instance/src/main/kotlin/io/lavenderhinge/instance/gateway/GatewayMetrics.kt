package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.EvacuationState
import io.lavenderhinge.core.forwarding.Rejection
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.lavenderhinge.instance.metrics.SpilloverMetrics
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/**
 * Counters and histograms of the gateway, updated on the control thread. The metrics library is
 * loaded on first use so that it does not delay startup.
 */
internal class GatewayMetrics(
    private val control: ControlThread,
    private val evacuations: () -> EvacuationState = { EvacuationState() },
) {
    /** Registry that the metrics endpoint exports. */
    val registry: PrometheusMeterRegistry by lazy {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also(::registerEvacuations)
    }
    private val requests by lazy { RequestMetrics(registry) }
    private val spillover by lazy { SpilloverMetrics(registry) }

    /** Records the end of an admitted request. */
    fun requestEnded(trace: RequestTrace, nowMillis: Long) {
        val priority = trace.admitted.priority
        val workspace = trace.admitted.workspace?.name
        val result = trace.result
        val millis = nowMillis - trace.arrivedMillis
        val skippedCount = trace.skippedResponseCount
        val unidentifiedCount = trace.unidentifiedResponseCount
        val readTokens = trace.readTokens
        val heldTokens = trace.heldTokens
        control.execute {
            requests.recordGatewayRequest(priority, workspace, result, millis)
            requests.recordUnusualResponses("skipped", skippedCount)
            requests.recordUnusualResponses("unidentified", unidentifiedCount)
            requests.recordPromptTokens("read", readTokens)
            requests.recordPromptTokens("cached", heldTokens)
        }
    }

    /** Records a request that was not admitted. */
    fun requestRejected(reason: Rejection) =
        control.execute { requests.recordGatewayRejection(reason.name.lowercase()) }

    /** Records that timers ran [delayMillis] late and what the traffic thread did meanwhile. */
    fun loopMeasured(delayMillis: Long, spentMillis: Map<TrafficActivity, Long>) =
        control.execute {
            requests.recordLoopDelay(delayMillis)
            spentMillis.forEach { (activity, millis) ->
                requests.recordLoopActivity(activity.name.lowercase(), millis)
            }
        }

    private fun registerEvacuations(registry: PrometheusMeterRegistry) {
        Gauge.builder("lavenderhinge.gateway.evacuated.domains") { evacuations().domains.size }
            .register(registry)
        Gauge.builder("lavenderhinge.gateway.evacuation.revision") { evacuations().revision }
            .register(registry)
    }

    /** Records that a statement of a server was ignored for [reason]. */
    fun statementIgnored(reason: String) =
        control.execute { requests.recordIgnoredStatement(reason) }

    /** Records that a server has become cold. */
    fun serverCold() = control.execute { requests.recordColdServer() }

    /** Records the share of the requests for [service] that leave the failure domain. */
    fun spilloverShare(service: String, shareFraction: Double) =
        control.execute { spillover.recordShare(service, shareFraction) }

    /** Records that a request is sent to [failureDomain]. */
    fun requestSent(service: String, failureDomain: String, sizeBytes: Double) =
        control.execute { spillover.recordSent(service, failureDomain, sizeBytes) }

    /** Records that a server of [service] was ejected. */
    fun serverEjected(service: String) = control.execute { requests.recordEjection(service) }
}
