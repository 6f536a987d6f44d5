package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.Deployment
import kotlin.random.Random

/**
 * Injects faults of random kind, target and duration at random times. Faults may overlap; when two
 * affect the same target, the end of the first also ends the second.
 */
internal class RandomFaultInjector(
    private val deployment: Deployment,
    private val loop: EventLoop,
    private val actions: FaultInjector,
    private val random: Random,
) {
    private val downInstances = HashMap<String, Int>()
    private var isStopped = false

    /** Number of faults injected so far. */
    var count = 0
        private set

    fun start() = scheduleNext()

    /** Stops injecting faults; active faults still end on schedule. */
    fun stop() {
        isStopped = true
    }

    private fun scheduleNext() {
        after(random.nextDouble(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)) {
            if (isStopped) return@after
            count++
            injectRandomFault()
            scheduleNext()
        }
    }

    private fun injectRandomFault() {
        val seconds = random.nextDouble(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        when (random.nextInt(FAULT_KINDS)) {
            0 -> slowServer(seconds)
            1 -> crashServer(seconds)
            2 -> drainServer(seconds)
            3 -> partitionDomain(seconds)
            4 -> crashInstance(seconds)
            else -> changeArrivalRate(seconds)
        }
    }

    private fun slowServer(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.setSlowdown(serverId, factor = random.nextDouble(1.5, 8.0))
        after(seconds) { actions.setSlowdown(serverId, factor = 1.0) }
    }

    private fun crashServer(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.crashServer(serverId)
        after(seconds) { actions.restartServer(serverId) }
    }

    /** Drains the server, then stops it with any remaining requests and restarts it. */
    private fun drainServer(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.drainServer(serverId)
        after(seconds) {
            actions.crashServer(serverId)
            after(RESTART_SECONDS) { actions.restartServer(serverId) }
        }
    }

    private fun partitionDomain(seconds: Double) {
        val domain = deployment.failureDomains.random(random)
        actions.partitionDomain(domain)
        after(seconds) { actions.healDomain(domain) }
    }

    private fun crashInstance(seconds: Double) {
        // Keeps half of the instances up; without any there is no scheduler to test.
        if (downInstances.size >= deployment.instances.size / 2) return
        val instanceId = deployment.instances.random(random).id
        downInstances.merge(instanceId, 1, Int::plus)
        actions.crashInstance(instanceId)
        after(seconds) {
            downInstances.computeIfPresent(instanceId) { _, count -> (count - 1).takeIf { it > 0 } }
            actions.restartInstance(instanceId)
        }
    }

    private fun changeArrivalRate(seconds: Double) {
        actions.arrivalFactor = random.nextDouble(0.3, MAX_ARRIVAL_FACTOR)
        after(seconds) { actions.arrivalFactor = 1.0 }
    }

    private fun after(seconds: Double, action: () -> Unit) {
        loop.after((seconds * MICROS_PER_SECOND).toLong(), action)
    }

    companion object {
        /** Upper bound on the random arrival rate multiplier. */
        const val MAX_ARRIVAL_FACTOR = 3.0
        private const val FAULT_KINDS = 6
        private const val MIN_INTERVAL_SECONDS = 0.5
        private const val MAX_INTERVAL_SECONDS = 15.0

        // Exceeds the failure detection time of both ends, so that every fault is detected.
        private const val MIN_FAULT_SECONDS = 2.0
        private const val MAX_FAULT_SECONDS = 30.0
        private const val RESTART_SECONDS = 3.0
    }
}
