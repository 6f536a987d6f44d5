package io.lavenderhinge.experiments.ledger

import kotlin.random.Random

/** Injects faults at random times. Faults may overlap. */
class LedgerFaultInjector(private val simulation: LedgerSimulation, private val random: Random) {
    private val clock = simulation.clock
    private val ids = simulation.instances.map { it.id }
    private var isStopped = false

    fun schedule(durationMillis: Long) {
        var atMillis = 2_000L
        while (atMillis < durationMillis) {
            clock.scheduleAfter(atMillis * 1000) { if (!isStopped) inject() }
            atMillis += random.nextLong(200, 4_000)
        }
    }

    /** Ends all faults, restarts dead instances, resumes paused ones and restores their views. */
    fun stopAll() {
        isStopped = true
        simulation.store.isDown = false
        simulation.store.isSlow = false
        simulation.store.responseLossFraction = 0.0
        simulation.network.partitionedInstances = emptySet()
        simulation.network.lossFraction = 0.0
        simulation.network.extraDelayMicros = 0
        for (id in ids) {
            if (simulation.instance(id).isDead) simulation.restart(id)
            if (simulation.instance(id).isPaused) simulation.instance(id).resume()
        }
        simulation.instances.forEach { it.liveInstances = ids }
    }

    private fun inject() {
        when (random.nextInt(9)) {
            0 -> crash(ids.random(random))
            1 -> pause(ids.random(random))
            2 -> partition()
            3 -> injectTemporarily(500, 6_000, { simulation.store.isDown = it })
            4 -> injectTemporarily(500, 8_000, { simulation.store.isSlow = it })
            5 ->
                injectTemporarily(1_000, 10_000) {
                    simulation.store.responseLossFraction = if (it) 0.3 else 0.0
                }
            6 ->
                injectTemporarily(1_000, 8_000) {
                    simulation.network.lossFraction = if (it) 0.2 else 0.0
                }
            7 -> divergeMembershipViews()
            else ->
                injectTemporarily(1_000, 8_000) {
                    simulation.network.extraDelayMicros = if (it) 800_000 else 0
                }
        }
    }

    private fun injectTemporarily(minMillis: Long, maxMillis: Long, set: (Boolean) -> Unit) {
        set(true)
        scheduleAfterRandomDelay(minMillis, maxMillis) { set(false) }
    }

    private fun crash(id: String) {
        if (simulation.instance(id).isDead) return
        simulation.kill(id)
        for (other in ids) {
            scheduleAfterRandomDelay(100, 4_000) {
                setLiveInstances(other, simulation.instance(other).liveInstances - id)
            }
        }
        scheduleAfterRandomDelay(50, 6_000) {
            if (simulation.instance(id).isDead) {
                simulation.restart(id)
                restoreMembershipViews()
            }
        }
    }

    private fun pause(id: String) {
        val paused = simulation.instance(id)
        if (paused.isDead || paused.isPaused) return
        paused.pause()
        for (other in ids - id) {
            scheduleAfterRandomDelay(100, 3_000) {
                setLiveInstances(other, simulation.instance(other).liveInstances - id)
            }
        }
        scheduleAfterRandomDelay(500, 8_000) {
            if (paused.isPaused) paused.resume()
            restoreMembershipViews()
        }
    }

    private fun partition() {
        val partitionedIds = ids.filter { random.nextBoolean() }.toSet()
        simulation.network.partitionedInstances = partitionedIds
        for (id in ids) {
            val reachableIds = ids.filter { (it in partitionedIds) == (id in partitionedIds) }
            scheduleAfterRandomDelay(100, 3_000) { setLiveInstances(id, reachableIds) }
        }
        scheduleAfterRandomDelay(1_000, 10_000) {
            simulation.network.partitionedInstances = emptySet()
            restoreMembershipViews()
        }
    }

    private fun divergeMembershipViews() {
        for (id in ids) setLiveInstances(id, ids.filter { it == id || random.nextInt(3) > 0 })
        scheduleAfterRandomDelay(500, 6_000) { restoreMembershipViews() }
    }

    private fun restoreMembershipViews() {
        for (id in ids) scheduleAfterRandomDelay(10, 2_000) { setLiveInstances(id, ids) }
    }

    private fun setLiveInstances(id: String, live: List<String>) {
        simulation.instance(id).liveInstances = live
    }

    private fun scheduleAfterRandomDelay(minMillis: Long, maxMillis: Long, action: () -> Unit) =
        clock.scheduleAfter(random.nextLong(minMillis, maxMillis) * 1000) {
            if (!isStopped) action()
        }
}
