package io.lavenderhinge.experiments.ledger

import kotlin.random.Random

/** Injects faults at random times, several of which may overlap. */
class LedgerFaults(private val simulation: LedgerSimulation, private val random: Random) {
    private val time = simulation.time
    private val ids = simulation.instances.map { it.id }
    private var isOver = false

    fun schedule(durationMillis: Long) {
        var atMillis = 2_000L
        while (atMillis < durationMillis) {
            time.after(atMillis * 1000) { if (!isOver) inject() }
            atMillis += random.nextLong(200, 4_000)
        }
    }

    /** Ends all faults: dead instances restart, paused ones resume, views agree. */
    fun endAll() {
        isOver = true
        simulation.store.isDown = false
        simulation.store.isSlow = false
        simulation.store.lostShareFraction = 0.0
        simulation.network.cutOff = emptySet()
        simulation.network.lossFraction = 0.0
        simulation.network.extraDelayMicros = 0
        for (id in ids) {
            if (simulation.instance(id).isDead) simulation.restart(id)
            if (simulation.instance(id).isPaused) simulation.instance(id).resume()
        }
        simulation.instances.forEach { it.live = ids }
    }

    private fun inject() {
        when (random.nextInt(9)) {
            0 -> crash(ids.random(random))
            1 -> pause(ids.random(random))
            2 -> cut()
            3 -> during(500, 6_000, { simulation.store.isDown = it })
            4 -> during(500, 8_000, { simulation.store.isSlow = it })
            5 -> during(1_000, 10_000) { simulation.store.lostShareFraction = if (it) 0.3 else 0.0 }
            6 -> during(1_000, 8_000) { simulation.network.lossFraction = if (it) 0.2 else 0.0 }
            7 -> divergeViews()
            else ->
                during(1_000, 8_000) {
                    simulation.network.extraDelayMicros = if (it) 800_000 else 0
                }
        }
    }

    private fun during(minMillis: Long, maxMillis: Long, set: (Boolean) -> Unit) {
        set(true)
        later(minMillis, maxMillis) { set(false) }
    }

    private fun crash(id: String) {
        if (simulation.instance(id).isDead) return
        simulation.kill(id)
        for (other in ids) {
            later(100, 4_000) { view(other, simulation.instance(other).live - id) }
        }
        later(50, 6_000) {
            if (simulation.instance(id).isDead) {
                simulation.restart(id)
                restoreViews()
            }
        }
    }

    private fun pause(id: String) {
        val paused = simulation.instance(id)
        if (paused.isDead || paused.isPaused) return
        paused.pause()
        for (other in ids - id) {
            later(100, 3_000) { view(other, simulation.instance(other).live - id) }
        }
        later(500, 8_000) {
            if (paused.isPaused) paused.resume()
            restoreViews()
        }
    }

    private fun cut() {
        val side = ids.filter { random.nextBoolean() }.toSet()
        simulation.network.cutOff = side
        for (id in ids) {
            val own = ids.filter { (it in side) == (id in side) }
            later(100, 3_000) { view(id, own) }
        }
        later(1_000, 10_000) {
            simulation.network.cutOff = emptySet()
            restoreViews()
        }
    }

    private fun divergeViews() {
        for (id in ids) view(id, ids.filter { it == id || random.nextInt(3) > 0 })
        later(500, 6_000) { restoreViews() }
    }

    private fun restoreViews() {
        for (id in ids) later(10, 2_000) { view(id, ids) }
    }

    private fun view(id: String, live: List<String>) {
        simulation.instance(id).live = live
    }

    private fun later(minMillis: Long, maxMillis: Long, action: () -> Unit) =
        time.after(random.nextLong(minMillis, maxMillis) * 1000) { if (!isOver) action() }
}
