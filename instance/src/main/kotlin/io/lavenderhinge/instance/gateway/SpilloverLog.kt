package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.SpilloverEvent
import org.slf4j.LoggerFactory

/** Records the traffic between failure domains in metrics and the log. */
internal class SpilloverLog(private val metrics: GatewayMetrics) {
    fun onEvent(event: SpilloverEvent) =
        when (event) {
            is SpilloverEvent.RequestSent ->
                metrics.requestSent(event.service, event.failureDomain, event.sizeBytes)
            is SpilloverEvent.ShareChanged -> onShareChanged(event)
        }

    private fun onShareChanged(event: SpilloverEvent.ShareChanged) {
        metrics.spilloverShare(event.service, event.shareFraction)
        if (!event.isStartOrStop) return
        log.info(
            "spillover: requests for {} {} the failure domain, wait {} ms, elsewhere {}",
            event.service,
            if (event.shareFraction > 0) "start to leave" else "no longer leave",
            event.waitMillis.toLong(),
            event.targetWaitMillis,
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger(SpilloverLog::class.java)
    }
}
