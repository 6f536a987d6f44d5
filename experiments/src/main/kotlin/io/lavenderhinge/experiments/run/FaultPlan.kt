package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND

/** Schedules the start and end of a scenario's fault at fixed times in the measurement window. */
internal class FaultPlan(
    private val scenario: Scenario,
    private val loop: EventLoop,
    private val actions: FaultInjector,
) {
    private val startSeconds = scenario.secondsAt(0.25)

    fun schedule() =
        when (scenario.fault) {
            FaultKind.NONE -> Unit
            FaultKind.SLOW_ENGINE -> scheduleSlowEngine()
            FaultKind.BURST -> scheduleBurst()
            FaultKind.LOST_SERVER -> scheduleServerCrash()
            FaultKind.DOMAIN_CUT -> scheduleDomainPartition()
            FaultKind.LOST_INSTANCE -> scheduleInstanceCrash()
        }

    private fun scheduleSlowEngine() {
        val engineId = scenario.deployment.engines.maxBy { it.hardwareGeneration }.id
        at(startSeconds) { actions.setSlowdown(engineId, factor = 4.0) }
        at(scenario.secondsAt(0.75)) { actions.setSlowdown(engineId, factor = 1.0) }
    }

    private fun scheduleBurst() {
        at(startSeconds) { actions.arrivalFactor = BURST_FACTOR }
        at(startSeconds + BURST_SECONDS) { actions.arrivalFactor = 1.0 }
    }

    private fun scheduleServerCrash() {
        val engineId = scenario.deployment.engines.first { it.hardwareGeneration == 2 }.id
        at(startSeconds) { actions.crashServer(engineId) }
        at(scenario.secondsAt(0.65)) { actions.restartServer(engineId) }
    }

    private fun scheduleDomainPartition() {
        val domain = scenario.deployment.failureDomains.first()
        at(startSeconds) { actions.partitionDomain(domain) }
        at(scenario.secondsAt(0.5)) { actions.healDomain(domain) }
    }

    private fun scheduleInstanceCrash() {
        val instanceId = scenario.deployment.instances.first().id
        at(startSeconds) { actions.crashInstance(instanceId) }
        at(startSeconds + INSTANCE_DOWN_SECONDS) { actions.restartInstance(instanceId) }
    }

    private fun at(seconds: Double, action: () -> Unit) {
        loop.at((seconds * MICROS_PER_SECOND).toLong(), action)
    }

    companion object {
        /** Multiple of the arrival rate during [FaultKind.BURST]. */
        const val BURST_FACTOR = 3.0
        private const val BURST_SECONDS = 10.0
        private const val INSTANCE_DOWN_SECONDS = 20.0
    }
}
