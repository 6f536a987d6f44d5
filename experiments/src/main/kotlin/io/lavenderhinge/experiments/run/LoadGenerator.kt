package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.Cluster
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.ArrivalProcess
import io.lavenderhinge.experiments.workload.RequestGenerator

/**
 * Generates requests until stopped. [rateFactor] scales the arrival rate and must not exceed
 * [maxRateFactor].
 */
internal class LoadGenerator(
    private val cluster: Cluster,
    private val loop: EventLoop,
    private val generator: RequestGenerator,
    private val arrivals: ArrivalProcess,
    private val maxRateFactor: Double,
    private val rateFactor: () -> Double,
) {
    private var isStopped = false

    fun start() = scheduleNext()

    fun stop() {
        isStopped = true
    }

    private fun scheduleNext() {
        val nowSeconds = loop.nowMicros.toDouble() / MICROS_PER_SECOND
        val nextSeconds = arrivals.next(nowSeconds, maxRateFactor) { rateFactor() }
        loop.at((nextSeconds * MICROS_PER_SECOND).toLong()) {
            if (isStopped) return@at
            cluster.submit(generator.next(loop.nowMillis))
            scheduleNext()
        }
    }
}
