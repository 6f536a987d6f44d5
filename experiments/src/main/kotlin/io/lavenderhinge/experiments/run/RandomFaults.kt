package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.Deployment
import kotlin.random.Random

/**
 * Draws faults at random times, of random kind, place and length. Faults overlap and repeat: the
 * end of one may mend another early.
 */
internal class RandomFaults(
    private val deployment: Deployment,
    private val loop: EventLoop,
    private val actions: FaultInjector,
    private val random: Random,
) {
    private val downInstances = HashMap<String, Int>()
    private var isStopped = false

    /** Faults drawn so far, for the report. */
    var count = 0
        private set

    fun start() = scheduleNext()

    /** Draws no more; faults that are set still end. */
    fun stop() {
        isStopped = true
    }

    private fun scheduleNext() {
        after(random.nextDouble(MIN_GAP_SECONDS, MAX_GAP_SECONDS)) {
            if (isStopped) return@after
            count++
            draw()
            scheduleNext()
        }
    }

    private fun draw() {
        val seconds = random.nextDouble(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        when (random.nextInt(FAULT_KINDS)) {
            0 -> slow(seconds)
            1 -> crash(seconds)
            2 -> leave(seconds)
            3 -> cut(seconds)
            4 -> loseInstance(seconds)
            else -> changeLoad(seconds)
        }
    }

    private fun slow(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.setSlowdown(serverId, factor = random.nextDouble(1.5, 8.0))
        after(seconds) { actions.setSlowdown(serverId, factor = 1.0) }
    }

    private fun crash(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.crashServer(serverId)
        after(seconds) { actions.restartServer(serverId) }
    }

    /** The server refuses new work, ends its process with what is left, and is replaced. */
    private fun leave(seconds: Double) {
        val serverId = deployment.backends.random(random).id
        actions.drainServer(serverId)
        after(seconds) {
            actions.crashServer(serverId)
            after(RESTART_SECONDS) { actions.restartServer(serverId) }
        }
    }

    private fun cut(seconds: Double) {
        val domain = deployment.failureDomains.random(random)
        actions.partitionDomain(domain)
        after(seconds) { actions.healDomain(domain) }
    }

    private fun loseInstance(seconds: Double) {
        // With no instance left, there would be no scheduler to test.
        if (downInstances.size >= deployment.instances.size / 2) return
        val instanceId = deployment.instances.random(random).id
        downInstances.merge(instanceId, 1, Int::plus)
        actions.crashInstance(instanceId)
        after(seconds) {
            downInstances.computeIfPresent(instanceId) { _, count -> (count - 1).takeIf { it > 0 } }
            actions.restartInstance(instanceId)
        }
    }

    private fun changeLoad(seconds: Double) {
        actions.arrivalFactor = random.nextDouble(0.3, MAX_ARRIVAL_FACTOR)
        after(seconds) { actions.arrivalFactor = 1.0 }
    }

    private fun after(seconds: Double, action: () -> Unit) {
        loop.after((seconds * MICROS_PER_SECOND).toLong(), action)
    }

    companion object {
        /** Largest multiple of the arrival rate that is drawn. */
        const val MAX_ARRIVAL_FACTOR = 3.0
        private const val FAULT_KINDS = 6
        private const val MIN_GAP_SECONDS = 0.5
        private const val MAX_GAP_SECONDS = 15.0

        // Longer than the time in which both ends notice a fault, so that each is seen at least
        // once.
        private const val MIN_FAULT_SECONDS = 2.0
        private const val MAX_FAULT_SECONDS = 30.0
        private const val RESTART_SECONDS = 3.0
    }
}
