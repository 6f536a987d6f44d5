package io.lavenderhinge.experiments.settings

/** Puts the faults of a scenario and the probes of the measurements into a run. */
internal class FleetFaults(private val fleet: Fleet, private val plan: RunPlan) {
    private val queue = fleet.queue
    private val result = fleet.result

    fun schedule() {
        when (plan.scenario) {
            Scenario.DOMAIN_OFF_PLATFORM -> duringFault { cutPlatform { it == CUT_DOMAIN } }
            Scenario.OUTAGE -> duringFault { cutPlatform { true } }
            Scenario.DOMAIN_CUT -> {
                duringFault {
                    cutPlatform { it == CUT_DOMAIN }
                    fleet.network.connected = { from, to ->
                        (from == CUT_DOMAIN) == (to == CUT_DOMAIN)
                    }
                }
                watchDomain()
            }
            else -> Unit
        }
        if (plan.scenario.restartMillis > 0) restarts()
        if (plan.scenario == Scenario.CALM || plan.scenario == Scenario.LOSSY) probes()
    }

    private fun duringFault(begin: () -> Unit) {
        queue.at(Scenario.FAULT_FROM, begin)
        queue.at(Scenario.FAULT_UNTIL) {
            fleet.platform.reachable = { true }
            fleet.network.connected = { _, _ -> true }
        }
    }

    private fun cutPlatform(cut: (domain: String) -> Boolean) {
        fleet.platform.reachable = { !cut(it) }
    }

    private fun restarts() {
        queue.at(Scenario.FAULT_FROM) { restartNext() }
    }

    private fun restartNext() {
        if (queue.nowMillis >= Scenario.FAULT_UNTIL) return
        val instance = fleet.randomLive()
        fleet.stop(instance.id)
        queue.after(RESTART_MILLIS) {
            fleet.start(instance.id)
            val startMillis = queue.nowMillis
            val started = fleet.instances.getValue(instance.id)
            awaitReady(started, startMillis)
        }
        queue.after(plan.scenario.restartMillis, ::restartNext)
    }

    private fun awaitReady(instance: SimulatedInstance, startMillis: Long) {
        val readyMillis = instance.readyMillis
        if (readyMillis != null) result.ready.add(readyMillis - startMillis)
        else queue.after(CHECK_MILLIS) { awaitReady(instance, startMillis) }
    }

    /** Ends a process and a host and takes servers out of service, one after the other. */
    private fun probes() {
        queue.at(PROBE_MILLIS) { stop(result.crashNoticed, silent = false) }
        queue.at(PROBE_MILLIS + 20_000) { stop(result.silentNoticed, silent = true) }
        for (index in 0 until minOf(LEAVING_SERVERS, plan.servers)) {
            queue.at(PROBE_MILLIS + index * 1_000) { fleet.leave("s-$index") }
        }
    }

    private fun stop(samples: Samples, silent: Boolean) {
        val instance = fleet.randomLive()
        result.stopped(instance.id, queue.nowMillis, samples)
        fleet.stop(instance.id, silent)
    }

    private fun watchDomain() {
        val seen = HashSet<String>()
        val back = HashSet<String>()
        fun check() {
            val observers = fleet.instances.values.filter { it.alive && it.domain != CUT_DOMAIN }
            observers.forEach { observer ->
                val lost = CUT_DOMAIN in observer.table.lostDomains()
                if (lost && seen.add(observer.id)) {
                    result.domainLost.add(queue.nowMillis - Scenario.FAULT_FROM)
                }
                val healed = queue.nowMillis >= Scenario.FAULT_UNTIL && observer.id in seen
                if (healed && allBack(observer) && back.add(observer.id)) {
                    result.domainBack.add(queue.nowMillis - Scenario.FAULT_UNTIL)
                }
            }
            queue.after(CHECK_MILLIS, ::check)
        }
        queue.at(Scenario.FAULT_FROM, ::check)
    }

    private fun allBack(observer: SimulatedInstance): Boolean {
        val domain = fleet.instances.values.filter { it.domain == CUT_DOMAIN }.map { it.id }
        return observer.table.liveIn(CUT_DOMAIN).containsAll(domain)
    }

    companion object {
        const val CUT_DOMAIN = "d0"
        private const val RESTART_MILLIS = 2_000L
        private const val CHECK_MILLIS = 100L
        private const val PROBE_MILLIS = 160_000L
        private const val LEAVING_SERVERS = 20
    }
}
