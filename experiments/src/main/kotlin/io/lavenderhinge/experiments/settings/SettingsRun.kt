package io.lavenderhinge.experiments.settings

import kotlin.random.Random

/** Executes a [RunPlan] in virtual time. */
internal object SettingsRun {
    private const val START_WINDOW_MILLIS = 10_000L

    // By then all members are listed and the initial gossip has converged.
    private const val WARM_UP_MILLIS = 60_000L
    private const val DRAIN_MILLIS = 30_000L

    fun run(plan: RunPlan): RunResult {
        val fleet = Fleet(plan)
        val random = Random(plan.seed + 2)
        val teams = (0 until plan.teams).map { "team-$it" }
        teams.forEach { fleet.platform.put(fleet.teamText(it, 1)) }
        fleet.publishMembers()
        fleet.ids.forEach { id ->
            fleet.queue.scheduleAt(random.nextLong(START_WINDOW_MILLIS)) { fleet.start(id) }
        }
        FleetFaultInjector(fleet, plan).schedule()
        for (millis in
            WARM_UP_MILLIS until
                plan.durationMillis - DRAIN_MILLIS step
                plan.changeIntervalMillis) {
            fleet.queue.scheduleAt(millis) { fleet.changeSettings(teams.random(random)) }
        }
        fleet.queue.runUntil(WARM_UP_MILLIS)
        val counters = SteadyStateCounters(fleet)
        fleet.queue.runUntil(plan.durationMillis)
        counters.close(plan.durationMillis - WARM_UP_MILLIS)
        fleet.result.summarize(fleet.instances.values.filter { it.alive })
        return fleet.result
    }

    /** Measures traffic, platform calls and processing time after the warm-up. */
    private class SteadyStateCounters(private val fleet: Fleet) {
        private val survivors = fleet.instances.values.toList()
        private val bytes = survivors.map { it.sentBytes + it.receivedBytes }
        private val calls = fleet.platform.calls
        private val processingNanos = fleet.result.processingNanos

        fun close(durationMillis: Long) {
            val seconds = durationMillis / 1_000.0
            val result = fleet.result
            survivors.forEachIndexed { index, instance ->
                if (!instance.alive) return@forEachIndexed
                val moved = instance.sentBytes + instance.receivedBytes - bytes[index]
                result.bytesPerSecond.add((moved / seconds).toLong())
            }
            result.platformCallsPerSecond = (fleet.platform.calls - calls) / seconds
            val usedSeconds = (result.processingNanos - processingNanos) / 1e9
            result.coreFraction = usedSeconds / seconds / fleet.instances.size
        }
    }
}
