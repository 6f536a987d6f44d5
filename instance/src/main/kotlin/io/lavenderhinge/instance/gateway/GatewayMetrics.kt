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
    fun requestEnded(trace: RequestTrace, nowMillis: Long) {
        val priority = trace.admitted.priority
        val workspace = trace.admitted.workspace?.name
        val result = trace.result
        val millis = nowMillis - trace.arrivedMillis
        control.execute { requests.ended(priority, workspace, result, millis) }
    }

    /** A request was answered without being admitted. */
    fun requestRejected(reason: Rejection) =
        control.execute { requests.rejected(reason.name.lowercase()) }
}
