package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.ControllerEffect
import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutIntervals
import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.ServerVersion
import io.lavenderhinge.core.rollout.StatsReport
import io.lavenderhinge.core.rollout.StopFlag
import io.lavenderhinge.core.settings.Target
import kotlin.math.exp
import kotlin.random.Random

/** Simulates one rollout in virtual time, in steps of one second. */
class RolloutSimulation(private val settings: RunSettings) {
    private val deployment = settings.deployment
    private val random = Random(settings.seed)
    private val gaussian = java.util.Random(settings.seed.toLong())
    private val plan =
        RolloutPlan(
            "team",
            "drafting",
            Target.Model("drafting"),
            "7",
            "8",
            settings.deadlineSeconds * MILLIS,
            UNPROVED_SHARE_FRACTION,
        )
    private val outageStart = random.nextLong(120, 3_600)
    private val platform =
        SimulatedPlatform(if (settings.outage) outageStart..outageStart + OUTAGE_SECONDS else null)
    private val fault = Fault.of(settings.kind, deployment, random)
    private val instances =
        (1..deployment.instances).map {
            SimulatedInstance("i$it", plan, deployment.instances, settings.test.factory)
        }
    private val serverVersions = (1..deployment.engines).map { ServerVersion("e$it", "7", true) }
    private val intervals = RolloutIntervals()
    private val reportsInTransit = ArrayDeque<ReportInTransit>()
    private var requests = 0L
    private var affectedRequests = 0L
    private var firstAffectedSeconds: Long? = null
    private var firstNewVersionSeconds: Long? = null
    private var lastNewVersionSeconds: Long? = null
    private var nowSeconds = 0L

    /** Runs until the rollout has ended and every instance applies the final traffic split. */
    fun run(): RunResult {
        var endedAt: Long? = null
        while (nowSeconds < settings.deadlineSeconds + MAX_SETTLE_SECONDS) {
            nowSeconds++
            simulateSecond()
            val record = platform.records.firstOrNull()?.record
            if (endedAt == null && record?.phase?.terminal == true) endedAt = nowSeconds
            if (endedAt != null && nowSeconds >= endedAt + SETTLE_SECONDS) break
        }
        val record = platform.records.first().record
        return RunResult(
            record.phase,
            record.evidence?.reason,
            endedAt ?: nowSeconds,
            requests,
            affectedRequests,
            firstAffectedSeconds,
            lastNewVersionSeconds,
        )
    }

    private fun simulateSecond() {
        val nowMillis = nowSeconds * MILLIS
        deliverReports()
        instances.forEach { readRecords(it, nowMillis) }
        generateTraffic()
        for (instance in instances) {
            instance.statistics.evaluate(nowMillis)?.let { addStopFlag(instance, it) }
            sendReport(instance, nowMillis)
        }
        gossip()
        instances.take(CONTROLLER_CANDIDATES).forEach { runController(it, nowMillis) }
    }

    private fun readRecords(instance: SimulatedInstance, nowMillis: Long) {
        if (nowMillis < instance.nextReadMillis || platform.isDown(nowMillis)) return
        instance.nextReadMillis =
            nowMillis + intervals.readPeriodMillis(deployment.instances) + random.nextLong(MILLIS)
        instance.updateRecords(platform.records, nowMillis)
        instance.controller.on(ControllerEvent.RecordsRead(platform.records), nowMillis)
    }

    private fun generateTraffic() {
        val load = deployment.load(nowSeconds)
        val mean = deployment.peakRequestsPerSecond * load / deployment.instances
        for (instance in instances) {
            for (route in deployment.routes) {
                repeat(poisson(mean * route.trafficFraction)) {
                    simulateRequest(instance, route, load)
                }
            }
        }
    }

    private fun simulateRequest(instance: SimulatedInstance, route: SimulatedRoute, load: Double) {
        val version = instance.split?.versionFor("${settings.seed}-${requests++}") ?: "7"
        val isNew = version == "8"
        if (isNew) {
            lastNewVersionSeconds = nowSeconds
            if (firstNewVersionSeconds == null) firstNewVersionSeconds = nowSeconds
        }
        val faultActive = isNew && fault != null && fault.isActive(nowSeconds, load, route.name)
        val outcome = simulateOutcome(route, load, isNew, faultActive)
        instance.observe(route.name, version, outcome)
    }

    private fun simulateOutcome(
        route: SimulatedRoute,
        load: Double,
        isNew: Boolean,
        faultActive: Boolean,
    ): RequestOutcome {
        val inErrorBurst = settings.kind == VersionKind.GOOD_WITH_BURSTS && nowSeconds % 900 < 45
        val baselineFailure =
            random.nextDouble() < if (inErrorBurst) 0.3 else BASELINE_ERROR_FRACTION
        val faultFailure = faultActive && fault!!.failsRequest(random)
        val affected = faultActive && (faultFailure || fault!!.latencyFactor > 1)
        if (affected) {
            affectedRequests++
            if (firstAffectedSeconds == null) firstAffectedSeconds = nowSeconds
        }
        if (baselineFailure || faultFailure) return RequestOutcome.Failed
        val cacheFactor =
            if (
                isNew && nowSeconds - (firstNewVersionSeconds ?: nowSeconds) < CACHE_WARM_UP_SECONDS
            )
                COLD_CACHE_LATENCY_FACTOR
            else 1.0
        val faultFactor = if (faultActive) fault!!.latencyFactor else 1.0
        val noise = exp(LATENCY_LOG_DEVIATION * gaussian.nextGaussian())
        return RequestOutcome.Answered(
            (route.medianMillis * (1 + load * load) * cacheFactor * faultFactor * noise).toLong()
        )
    }

    private fun sendReport(instance: SimulatedInstance, nowMillis: Long) {
        val controllerId = instance.controllerId() ?: return
        if (platform.records.firstOrNull()?.record?.phase != RolloutPhase.MOVING) return
        if (nowMillis < instance.nextReportMillis) return
        val report = instance.statistics.report()
        val bytes = WireSize.of(report, plan)
        instance.nextReportMillis =
            nowMillis + intervals.reportPeriodMillis(deployment.instances, bytes)
        reportsInTransit +=
            ReportInTransit(
                nowSeconds + 1 + random.nextLong(MAX_REPORT_DELAY_SECONDS),
                controllerId,
                report,
            )
    }

    private fun deliverReports() {
        val due = reportsInTransit.filter { it.atSeconds <= nowSeconds }
        reportsInTransit.removeAll(due)
        for (delivery in due) {
            val controller = instances.first { it.id == delivery.controllerId }.controller
            controller.on(ControllerEvent.StatsReceived(delivery.report), nowSeconds * MILLIS)
        }
    }

    private fun runController(instance: SimulatedInstance, nowMillis: Long) {
        val controller = instance.controller
        controller.on(ControllerEvent.PlansUpdated(listOf(plan)), nowMillis)
        controller.on(ControllerEvent.Candidacy(true), nowMillis)
        controller.on(ControllerEvent.ServersUpdated(serverVersions), nowMillis)
        controller.on(ControllerEvent.StopFlagsReceived(instance.flags.all), nowMillis)
        for (effect in controller.on(ControllerEvent.Tick, nowMillis)) {
            if (effect is ControllerEffect.RaiseStopFlag) addStopFlag(instance, effect.flag)
            platform.respond(instance.id, effect, nowMillis)?.let { controller.on(it, nowMillis) }
        }
    }

    private fun addStopFlag(instance: SimulatedInstance, flag: StopFlag) {
        if (instance.flags.merge(listOf(flag)).isNotEmpty()) instance.updateSplit()
    }

    // A hop of push gossip takes one second here, which is longer than on a real network.
    private fun gossip() {
        val known = instances.filter { it.flags.all.isNotEmpty() }
        for (sender in known) {
            val flags = sender.flags.all
            repeat(GOSSIP_FANOUT) { flags.forEach { addStopFlag(instances.random(random), it) } }
        }
    }

    private fun poisson(mean: Double): Int {
        val limit = exp(-mean)
        var product = random.nextDouble()
        var count = 0
        while (product > limit) {
            product *= random.nextDouble()
            count++
        }
        return count
    }

    private class ReportInTransit(
        val atSeconds: Long,
        val controllerId: String,
        val report: StatsReport,
    )

    private companion object {
        const val MILLIS = 1_000L
        const val UNPROVED_SHARE_FRACTION = 0.05
        const val OUTAGE_SECONDS = 600L
        const val MAX_SETTLE_SECONDS = 900L
        const val SETTLE_SECONDS = 30L
        const val CONTROLLER_CANDIDATES = 2
        const val MAX_REPORT_DELAY_SECONDS = 3L
        const val GOSSIP_FANOUT = 4
        const val BASELINE_ERROR_FRACTION = 0.001

        /** The new version responds 10% more slowly until its cache is warm. */
        const val CACHE_WARM_UP_SECONDS = 120L
        const val COLD_CACHE_LATENCY_FACTOR = 1.1
        const val LATENCY_LOG_DEVIATION = 0.5
    }
}
