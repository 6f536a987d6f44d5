package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.settings.TeamSettings

/** A change that the platform accepted. */
internal class Change(val team: String, val revision: Long, val acceptedMillis: Long) {
    /** Milliseconds until in force, by instance. */
    val delays = HashMap<String, Long>()
}

/** What a run has measured. */
internal class RunResult(val plan: RunPlan) {
    val changes = mutableListOf<Change>()
    val serverLeft = Samples()
    val crashNoticed = Samples()
    val silentNoticed = Samples()
    val ready = Samples()
    val domainLost = Samples()
    val domainBack = Samples()
    val bytesPerSecond = Samples()
    var wentBack = 0
    var falseSuspicions = 0
    var falseOutside = 0
    var processorNanos = 0L
    var processorShare = 0.0
    var platformCallsPerSecond = 0.0
    var missing = 0
    private val stopped = HashMap<String, Pair<Long, Samples>>()

    /** Delays until in force on one instance, and until in force on all. */
    val everyInstance = Samples()
    val everywhere = Samples()

    fun onInForce(instance: SimulatedInstance, settings: TeamSettings, nowMillis: Long) {
        changes
            .filter { it.team == settings.team && it.revision <= settings.revision }
            .filter { instance.startedMillis <= it.acceptedMillis }
            .forEach { it.delays.putIfAbsent(instance.id, nowMillis - from(it, instance)) }
    }

    /** From now on the end of [id] is to be noticed by its domain. */
    fun stopped(id: String, nowMillis: Long, samples: Samples) {
        stopped[id] = nowMillis to samples
    }

    fun noticed(id: String, nowMillis: Long) {
        val (sinceMillis, samples) = stopped[id] ?: return
        samples.add(nowMillis - sinceMillis)
    }

    /** Sums up; [expected] are the instances that lived through the run. */
    fun close(expected: Collection<SimulatedInstance>) {
        changes.forEach { change ->
            val delays =
                expected
                    .filter { it.startedMillis <= change.acceptedMillis }
                    .map { change.delays[it.id] }
            missing += delays.count { it == null }
            delays.filterNotNull().forEach(everyInstance::add)
            delays.filterNotNull().maxOrNull()?.let(everywhere::add)
        }
    }

    // An instance that is cut off from everything counts from the end of the cut.
    private fun from(change: Change, instance: SimulatedInstance): Long {
        val cut = plan.scenario == Scenario.DOMAIN_CUT && instance.domain == FleetFaults.CUT_DOMAIN
        val during = change.acceptedMillis in Scenario.FAULT_FROM..Scenario.FAULT_UNTIL
        val all = plan.scenario == Scenario.OUTAGE
        return if ((cut || all) && during) Scenario.FAULT_UNTIL else change.acceptedMillis
    }
}
