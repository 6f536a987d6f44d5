package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Rejection
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.metrics.RequestMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/**
 * Counters and histograms of the gateway. They are kept on the control thread, and the library is
 * loaded with the first of them, so that it does not delay a start.
 */
internal class GatewayMetrics(private val control: ControlThread) {
    /** Registry for the metrics page. */
    val registry: PrometheusMeterRegistry by lazy {
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    }
    private val requests by lazy { RequestMetrics(registry) }

    /** A request that was admitted has ended. */
    fun ended(trail: RequestTrail, nowMillis: Long) {
        val priority = trail.admitted.priority
        val workspace = trail.admitted.workspace?.name
        val result = trail.result
        val millis = nowMillis - trail.arrivedMillis
        control.execute { requests.recordGatewayRequest(priority, workspace, result, millis) }
    }

    /** A request was answered without being admitted. */
    fun rejected(reason: Rejection) =
        control.execute { requests.recordGatewayRejection(reason.name.lowercase()) }
}
