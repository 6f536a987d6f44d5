package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.settings.TeamSettings

/** A settings change that the platform accepted. */
internal class SettingsChange(val team: String, val revision: Long, val acceptedMillis: Long) {
    /** Milliseconds from acceptance to activation, by instance ID. */
    val activationDelays = HashMap<String, Long>()
}

/** Measurements of one run. */
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

    /** Delays until a change is active on an instance. */
    val instanceActivationDelays = Samples()

    /** Delays until a change is active on all instances. */
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

    /**
     * Starts measuring how long the other instances of the domain take to detect the stop of [id].
     */
    fun onStopped(id: String, nowMillis: Long, samples: Samples) {
        pendingDetections[id] = nowMillis to samples
    }

    fun onStopDetected(id: String, nowMillis: Long) {
        val (sinceMillis, samples) = pendingDetections[id] ?: return
        samples.add(nowMillis - sinceMillis)
    }

    /**
     * Aggregates the activation delays. [expected] are the instances alive at the end of the run.
     */
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

    // An instance that could not receive the change is measured from the end of the fault.
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
