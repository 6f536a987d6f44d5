package io.lavenderhinge.experiments.settings

/** Schedules the faults of a scenario and the events whose detection time is measured. */
internal class FleetFaultInjector(private val fleet: Fleet, private val plan: RunPlan) {
    private val queue = fleet.queue
    private val result = fleet.result

    fun schedule() {
        when (plan.scenario) {
            Scenario.DOMAIN_OFF_PLATFORM ->
                duringFault { disconnectFromPlatform { it == AFFECTED_DOMAIN } }
            Scenario.OUTAGE -> duringFault { disconnectFromPlatform { true } }
            Scenario.DOMAIN_CUT -> {
                duringFault {
                    disconnectFromPlatform { it == AFFECTED_DOMAIN }
                    fleet.network.connected = { from, to ->
                        (from == AFFECTED_DOMAIN) == (to == AFFECTED_DOMAIN)
                    }
                }
                monitorAffectedDomain()
            }
            else -> Unit
        }
        if (plan.scenario.restartIntervalMillis > 0) scheduleRestarts()
        if (plan.scenario == Scenario.CALM || plan.scenario == Scenario.LOSSY) scheduleStops()
    }

    private fun duringFault(begin: () -> Unit) {
        queue.scheduleAt(Scenario.FAULT_START_MILLIS, begin)
        queue.scheduleAt(Scenario.FAULT_END_MILLIS) {
            fleet.platform.reachable = { true }
            fleet.network.connected = { _, _ -> true }
        }
    }

    private fun disconnectFromPlatform(isDisconnected: (domain: String) -> Boolean) {
        fleet.platform.reachable = { !isDisconnected(it) }
    }

    private fun scheduleRestarts() {
        queue.scheduleAt(Scenario.FAULT_START_MILLIS) { restartNext() }
    }

    private fun restartNext() {
        if (queue.nowMillis >= Scenario.FAULT_END_MILLIS) return
        val instance = fleet.randomLiveInstance()
        fleet.stop(instance.id)
        queue.scheduleAfter(RESTART_DELAY_MILLIS) {
            fleet.start(instance.id)
            val startMillis = queue.nowMillis
            val started = fleet.instances.getValue(instance.id)
            awaitReady(started, startMillis)
        }
        queue.scheduleAfter(plan.scenario.restartIntervalMillis, ::restartNext)
    }

    private fun awaitReady(instance: SimulatedInstance, startMillis: Long) {
        val readyMillis = instance.readyMillis
        if (readyMillis != null) result.restartToReady.add(readyMillis - startMillis)
        else queue.scheduleAfter(CHECK_INTERVAL_MILLIS) { awaitReady(instance, startMillis) }
    }

    /**
     * Crashes an instance, silently stops another one, and marks servers as leaving in sequence.
     */
    private fun scheduleStops() {
        queue.scheduleAt(STOPS_START_MILLIS) { stop(result.crashDetection, silent = false) }
        queue.scheduleAt(STOPS_START_MILLIS + 20_000) {
            stop(result.silentHostDetection, silent = true)
        }
        for (index in 0 until minOf(LEAVING_SERVER_COUNT, plan.servers)) {
            queue.scheduleAt(STOPS_START_MILLIS + index * 1_000) {
                fleet.markServerLeaving("s-$index")
            }
        }
    }

    private fun stop(samples: Samples, silent: Boolean) {
        val instance = fleet.randomLiveInstance()
        result.onStopped(instance.id, queue.nowMillis, samples)
        fleet.stop(instance.id, silent)
    }

    private fun monitorAffectedDomain() {
        val observersWithLoss = HashSet<String>()
        val recoveredObservers = HashSet<String>()
        fun check() {
            val observers =
                fleet.instances.values.filter { it.alive && it.domain != AFFECTED_DOMAIN }
            observers.forEach { observer ->
                val lost = AFFECTED_DOMAIN in observer.table.lostDomains()
                if (lost && observersWithLoss.add(observer.id)) {
                    result.domainLossDetection.add(queue.nowMillis - Scenario.FAULT_START_MILLIS)
                }
                val healed =
                    queue.nowMillis >= Scenario.FAULT_END_MILLIS && observer.id in observersWithLoss
                if (healed && allMembersLive(observer) && recoveredObservers.add(observer.id)) {
                    result.domainRecovery.add(queue.nowMillis - Scenario.FAULT_END_MILLIS)
                }
            }
            queue.scheduleAfter(CHECK_INTERVAL_MILLIS, ::check)
        }
        queue.scheduleAt(Scenario.FAULT_START_MILLIS, ::check)
    }

    private fun allMembersLive(observer: SimulatedInstance): Boolean {
        val domain = fleet.instances.values.filter { it.domain == AFFECTED_DOMAIN }.map { it.id }
        return observer.table.liveIn(AFFECTED_DOMAIN).containsAll(domain)
    }

    companion object {
        const val AFFECTED_DOMAIN = "d0"
        private const val RESTART_DELAY_MILLIS = 2_000L
        private const val CHECK_INTERVAL_MILLIS = 100L
        private const val STOPS_START_MILLIS = 160_000L
        private const val LEAVING_SERVER_COUNT = 20
    }
}
