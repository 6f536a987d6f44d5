package io.lavenderhinge.instance.gateway

import org.slf4j.LoggerFactory

/**
 * Measures how late the traffic thread runs its timers. A late one also notices late that clients
 * have left or that deadlines have passed. Confined to the traffic thread.
 */
internal class LoopDelayMonitor(
    private val loop: TrafficLoop,
    private val metrics: GatewayMetrics,
    /** Number of requests that have been received but not answered. */
    private val inFlightCount: () -> Int,
) {
    private var lastRunMillis = 0L
    private var lastWarningMillis = Long.MIN_VALUE
    private var spentMillis = emptyMap<TrafficActivity, Long>()

    /** Starts the measurement. */
    fun start() {
        lastRunMillis = loop.nowMillis()
        spentMillis = totals()
        loop.every(INTERVAL_MILLIS, ::measure)
    }

    private fun measure() {
        val nowMillis = loop.nowMillis()
        val delayMillis = (nowMillis - lastRunMillis - INTERVAL_MILLIS).coerceAtLeast(0)
        lastRunMillis = nowMillis
        val totals = totals()
        val recent = totals.mapValues { (activity, total) -> total - (spentMillis[activity] ?: 0) }
        spentMillis = totals
        metrics.loopMeasured(delayMillis, recent)
        if (delayMillis < MIN_WARNING_MILLIS || isWarnedSince(nowMillis - WARNING_PAUSE_MILLIS)) {
            return
        }
        lastWarningMillis = nowMillis
        log.warn(
            "traffic: timers ran {} ms late, with {} requests in flight; " +
                "of that time {} ms were for decisions, {} ms for load reports",
            delayMillis,
            inFlightCount(),
            recent[TrafficActivity.DECISIONS],
            recent[TrafficActivity.REPORTS],
        )
    }

    private fun isWarnedSince(millis: Long) = lastWarningMillis > millis

    private fun totals(): Map<TrafficActivity, Long> =
        TrafficActivity.entries.associateWith(loop.load::spentMillis)

    private companion object {
        const val INTERVAL_MILLIS = 100L
        const val MIN_WARNING_MILLIS = 100L
        /** A thread that is late is not to write a line each time. */
        const val WARNING_PAUSE_MILLIS = 500L
        val log = LoggerFactory.getLogger(LoopDelayMonitor::class.java)
    }
}
