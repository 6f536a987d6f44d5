package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.Cluster
import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.ArrivalProcess
import io.lavenderhinge.experiments.workload.RequestGenerator

/**
 * One run of a scenario. Requests go on arriving after the measured part until all that arrived in
 * it have ended, so that they end under the load under which they began.
 */
class ExperimentRun(private val scenario: Scenario) {
    private val loop = EventLoop()
    private val cluster =
        Cluster(scenario.deployment, scenario.scheduler.factory, loop, scenario.seed)
    private val actions = FaultInjector(cluster, loop)
    private val feed =
        RequestFeed(
            cluster,
            loop,
            RequestGenerator(scenario.deployment, scenario.seed),
            ArrivalProcess(scenario.capacityPerSecond * scenario.loadFactor, scenario.seed),
            maxFactor = if (scenario.fault == FaultKind.BURST) FaultPlan.BURST_FACTOR else 1.0,
            factor = actions::arrivalFactor,
        )
    private val startMicros = (scenario.startSeconds * MICROS_PER_SECOND).toLong()
    private val endMicros = (scenario.endSeconds * MICROS_PER_SECOND).toLong()

    fun run(): RunResult {
        cluster.start()
        FaultPlan(scenario, loop, actions).schedule()
        feed.start()
        loop.runUntil(endMicros)
        loop.runWhile { hasMeasuredActive() }
        feed.stop()
        loop.runWhile { cluster.requests.active.isNotEmpty() }
        cluster.requests.checkAllEnded()
        return result()
    }

    // Requests are kept in the order of arrival, so that the first one tells.
    private fun hasMeasuredActive(): Boolean =
        (cluster.requests.active.firstOrNull()?.arrivalMicros ?: Long.MAX_VALUE) < endMicros

    private fun result(): RunResult {
        val measured =
            cluster.requests.records.filter { it.arrivalMicros in startMicros until endMicros }
        return RunResult.of(
            measured,
            scenario.durationSeconds.toDouble(),
            Control(
                cluster.controlTraffic.messageCount /
                    (loop.nowMicros.toDouble() / MICROS_PER_SECOND),
                cluster.controlTraffic.totalBytes / (loop.nowMicros.toDouble() / MICROS_PER_SECOND),
            ),
            cluster.violations,
        )
    }
}
