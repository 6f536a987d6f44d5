package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.settings.TeamSettings

/** A change that the platform accepted. */
internal class SettingsChange(val team: String, val revision: Long, val acceptedMillis: Long) {
    /** Milliseconds until in force, by instance. */
    val activationDelays = HashMap<String, Long>()
}

/** What a run has measured. */
internal class RunResult(val plan: RunPlan) {
    val changes = mutableListOf<SettingsChange>()
    val serverLeaveDetection = Samples()
    val crashDetection = Samples()
    val silentHostDetection = Samples()
    val restartToReady = Samples()
    val domainLossDetection = Samples()
    val domainRecovery = Samples()
    val bytesPerSecond = Samples()
    var revisionRegressions = 0
    var falseSuspicionsInDomain = 0
    var falseSuspicionsAcrossDomains = 0
    var processingNanos = 0L
    var coreFraction = 0.0
    var platformCallsPerSecond = 0.0
    var missedActivations = 0
    private val pendingDetections = HashMap<String, Pair<Long, Samples>>()

    /** Delays until in force on one instance, and until in force on all. */
    val instanceActivationDelays = Samples()
    val fleetActivationDelays = Samples()

    fun onActivated(instance: SimulatedInstance, settings: TeamSettings, nowMillis: Long) {
        changes
            .filter { it.team == settings.team && it.revision <= settings.revision }
            .filter { instance.startedMillis <= it.acceptedMillis }
            .forEach {
                it.activationDelays.putIfAbsent(
                    instance.id,
                    nowMillis - measureFromMillis(it, instance),
                )
            }
    }

    /** From now on the end of [id] is to be noticed by its domain. */
    fun onStopped(id: String, nowMillis: Long, samples: Samples) {
        pendingDetections[id] = nowMillis to samples
    }

    fun onStopDetected(id: String, nowMillis: Long) {
        val (sinceMillis, samples) = pendingDetections[id] ?: return
        samples.add(nowMillis - sinceMillis)
    }

    /** Sums up; [expected] are the instances that lived through the run. */
    fun summarize(expected: Collection<SimulatedInstance>) {
        changes.forEach { change ->
            val activationDelays =
                expected
                    .filter { it.startedMillis <= change.acceptedMillis }
                    .map { change.activationDelays[it.id] }
            missedActivations += activationDelays.count { it == null }
            activationDelays.filterNotNull().forEach(instanceActivationDelays::add)
            activationDelays.filterNotNull().maxOrNull()?.let(fleetActivationDelays::add)
        }
    }

    // An instance that is cut off from everything counts from the end of the cut.
    private fun measureFromMillis(change: SettingsChange, instance: SimulatedInstance): Long {
        val partitioned =
            plan.scenario == Scenario.DOMAIN_CUT &&
                instance.domain == FleetFaultInjector.AFFECTED_DOMAIN
        val duringFault =
            change.acceptedMillis in Scenario.FAULT_START_MILLIS..Scenario.FAULT_END_MILLIS
        val isOutage = plan.scenario == Scenario.OUTAGE
        return if ((partitioned || isOutage) && duringFault) Scenario.FAULT_END_MILLIS
        else change.acceptedMillis
    }
}
