package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.Cluster
import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.ArrivalProcess
import io.lavenderhinge.experiments.workload.RequestGenerator

/**
 * Simulates one scenario. Arrivals continue after the measurement window until every request that
 * arrived within it has ended, so that these requests finish under an unchanged load.
 */
class ExperimentRun(private val scenario: Scenario) {
    private val loop = EventLoop()
    private val cluster =
        Cluster(scenario.deployment, scenario.scheduler.factory, loop, scenario.seed)
    private val actions = FaultInjector(cluster, loop)
    private val loadGenerator =
        LoadGenerator(
            cluster,
            loop,
            RequestGenerator(scenario.deployment, scenario.seed),
            ArrivalProcess(scenario.capacityPerSecond * scenario.loadFactor, scenario.seed),
            maxRateFactor = if (scenario.fault == FaultKind.BURST) FaultPlan.BURST_FACTOR else 1.0,
            rateFactor = actions::arrivalFactor,
        )
    private val startMicros = (scenario.startSeconds * MICROS_PER_SECOND).toLong()
    private val endMicros = (scenario.endSeconds * MICROS_PER_SECOND).toLong()

    fun run(): RunResult {
        cluster.start()
        FaultPlan(scenario, loop, actions).schedule()
        loadGenerator.start()
        loop.runUntil(endMicros)
        loop.runWhile { hasActiveMeasuredRequests() }
        loadGenerator.stop()
        loop.runWhile { cluster.requests.active.isNotEmpty() }
        cluster.requests.checkAllEnded()
        return result()
    }

    // Active requests are in arrival order, so checking the first one is sufficient.
    private fun hasActiveMeasuredRequests(): Boolean =
        (cluster.requests.active.firstOrNull()?.arrivalMicros ?: Long.MAX_VALUE) < endMicros

    private fun result(): RunResult {
        val measured =
            cluster.requests.records.filter { it.arrivalMicros in startMicros until endMicros }
        return RunResult.of(
            measured,
            scenario.durationSeconds.toDouble(),
            ControlTraffic(
                cluster.controlTraffic.messageCount /
                    (loop.nowMicros.toDouble() / MICROS_PER_SECOND),
                cluster.controlTraffic.totalBytes / (loop.nowMicros.toDouble() / MICROS_PER_SECOND),
            ),
            cluster.violations,
        )
    }
}
