package io.lavenderhinge.instance.metrics

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.atomic.AtomicReference

/** Metrics of the traffic between failure domains. There are few services and domains. */
class SpilloverMetrics(private val registry: MeterRegistry) {
    private val shares = HashMap<String, AtomicReference<Double>>()

    /** Records the share of the requests for [service] that leave the failure domain. */
    fun recordShare(service: String, shareFraction: Double) =
        shares.getOrPut(service) { registerShare(service) }.set(shareFraction)

    /**
     * Counts a request that is sent to [failureDomain], and the expected [sizeBytes] of it and its
     * response.
     */
    fun recordSent(service: String, failureDomain: String, sizeBytes: Double) {
        val tags = arrayOf("service", service, "domain", failureDomain)
        registry.counter("lavenderhinge.gateway.domain.requests", *tags).increment()
        registry.counter("lavenderhinge.gateway.domain.bytes", *tags).increment(sizeBytes)
    }

    private fun registerShare(service: String): AtomicReference<Double> {
        val share = AtomicReference(0.0)
        Gauge.builder("lavenderhinge.gateway.spillover.share") { share.get() }
            .tag("service", service)
            .register(registry)
        return share
    }
}
