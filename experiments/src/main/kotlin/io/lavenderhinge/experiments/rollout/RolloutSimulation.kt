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

/** One rollout in virtual time, in steps of one second. */
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
            UNPROVED_SHARE,
        )
    private val outageStart = random.nextLong(120, 3_600)
    private val platform =
        SimulatedPlatform(if (settings.outage) outageStart..outageStart + OUTAGE_SECONDS else null)
    private val fault = Fault.of(settings.kind, deployment, random)
    private val instances =
        (1..deployment.instances).map {
            SimulatedInstance("i$it", plan, deployment.instances, settings.test.factory)
        }
    private val engines = (1..deployment.engines).map { ServerVersion("e$it", "7", true) }
    private val pace = RolloutIntervals()
    private val inTransit = ArrayDeque<Transit>()
    private var requests = 0L
    private var spoiled = 0L
    private var firstSpoiled: Long? = null
    private var firstNew: Long? = null
    private var lastNew: Long? = null
    private var seconds = 0L

    /** Runs until the rollout has ended and its share has taken effect everywhere. */
    fun run(): RunResult {
        var endedAt: Long? = null
        while (seconds < settings.deadlineSeconds + LONGEST_TAIL_SECONDS) {
            seconds++
            second()
            val record = platform.records.firstOrNull()?.record
            if (endedAt == null && record?.phase?.terminal == true) endedAt = seconds
            if (endedAt != null && seconds >= endedAt + TAIL_SECONDS) break
        }
        val record = platform.records.first().record
        return RunResult(
            record.phase,
            record.evidence?.reason,
            endedAt ?: seconds,
            requests,
            spoiled,
            firstSpoiled,
            lastNew,
        )
    }

    private fun second() {
        val nowMillis = seconds * MILLIS
        deliver()
        instances.forEach { read(it, nowMillis) }
        traffic()
        for (instance in instances) {
            instance.statistics.evaluate(nowMillis)?.let { learn(instance, it) }
            report(instance, nowMillis)
        }
        gossip()
        instances.take(MOVER_CANDIDATES).forEach { move(it, nowMillis) }
    }

    private fun read(instance: SimulatedInstance, nowMillis: Long) {
        if (nowMillis < instance.nextReadMillis || platform.down(nowMillis)) return
        instance.nextReadMillis =
            nowMillis + pace.readPeriodMillis(deployment.instances) + random.nextLong(MILLIS)
        instance.read(platform.records, nowMillis)
        instance.mover.on(ControllerEvent.RecordsRead(platform.records), nowMillis)
    }

    private fun traffic() {
        val load = deployment.load(seconds)
        val mean = deployment.peakRequestsPerSecond * load / deployment.instances
        for (instance in instances) {
            for (route in deployment.routes) {
                repeat(poisson(mean * route.trafficFraction)) { request(instance, route, load) }
            }
        }
    }

    private fun request(instance: SimulatedInstance, route: SimulatedRoute, load: Double) {
        val version = instance.split?.versionFor("${settings.seed}-${requests++}") ?: "7"
        val isNew = version == "8"
        if (isNew) {
            lastNew = seconds
            if (firstNew == null) firstNew = seconds
        }
        val active = isNew && fault != null && fault.active(seconds, load, route.name)
        val outcome = outcome(route, load, isNew, active)
        instance.observe(route.name, version, outcome)
    }

    private fun outcome(
        route: SimulatedRoute,
        load: Double,
        isNew: Boolean,
        active: Boolean,
    ): RequestOutcome {
        val burst = settings.kind == VersionKind.GOOD_WITH_BURSTS && seconds % 900 < 45
        val failsAnyway = random.nextDouble() < if (burst) 0.3 else USUAL_ERRORS
        val faultFails = active && fault!!.fails(random)
        val spoils = active && (faultFails || fault!!.latencyFactor > 1)
        if (spoils) {
            spoiled++
            if (firstSpoiled == null) firstSpoiled = seconds
        }
        if (failsAnyway || faultFails) return RequestOutcome.Failed
        val cold = if (isNew && seconds - (firstNew ?: seconds) < COLD_SECONDS) COLD_FACTOR else 1.0
        val slow = if (active) fault!!.latencyFactor else 1.0
        val noise = exp(LATENCY_SPREAD * gaussian.nextGaussian())
        return RequestOutcome.Answered(
            (route.medianMillis * (1 + load * load) * cold * slow * noise).toLong()
        )
    }

    private fun report(instance: SimulatedInstance, nowMillis: Long) {
        val moverId = instance.moverId() ?: return
        if (platform.records.firstOrNull()?.record?.phase != RolloutPhase.MOVING) return
        if (nowMillis < instance.nextReportMillis) return
        val report = instance.statistics.report()
        val bytes = WireSize.of(report, plan)
        instance.nextReportMillis = nowMillis + pace.reportPeriodMillis(deployment.instances, bytes)
        inTransit += Transit(seconds + 1 + random.nextLong(MAX_DELAY_SECONDS), moverId, report)
    }

    private fun deliver() {
        val due = inTransit.filter { it.atSeconds <= seconds }
        inTransit.removeAll(due)
        for (transit in due) {
            val mover = instances.first { it.id == transit.moverId }.mover
            mover.on(ControllerEvent.StatsReceived(transit.report), seconds * MILLIS)
        }
    }

    private fun move(instance: SimulatedInstance, nowMillis: Long) {
        val mover = instance.mover
        mover.on(ControllerEvent.PlansUpdated(listOf(plan)), nowMillis)
        mover.on(ControllerEvent.Candidacy(true), nowMillis)
        mover.on(ControllerEvent.ServersUpdated(engines), nowMillis)
        mover.on(ControllerEvent.StopFlagsReceived(instance.flags.all), nowMillis)
        for (effect in mover.on(ControllerEvent.Tick, nowMillis)) {
            if (effect is ControllerEffect.RaiseStopFlag) learn(instance, effect.flag)
            platform.answer(instance.id, effect, nowMillis)?.let { mover.on(it, nowMillis) }
        }
    }

    private fun learn(instance: SimulatedInstance, flag: StopFlag) {
        if (instance.flags.merge(listOf(flag)).isNotEmpty()) instance.refresh()
    }

    // One hop of the push gossip takes a second here, which is longer than on a real network.
    private fun gossip() {
        val known = instances.filter { it.flags.all.isNotEmpty() }
        for (sender in known) {
            val flags = sender.flags.all
            repeat(FAN_OUT) { flags.forEach { learn(instances.random(random), it) } }
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

    private class Transit(val atSeconds: Long, val moverId: String, val report: StatsReport)

    private companion object {
        const val MILLIS = 1_000L
        const val UNPROVED_SHARE = 0.05
        const val OUTAGE_SECONDS = 600L
        const val LONGEST_TAIL_SECONDS = 900L
        const val TAIL_SECONDS = 30L
        const val MOVER_CANDIDATES = 2
        const val MAX_DELAY_SECONDS = 3L
        const val FAN_OUT = 4
        const val USUAL_ERRORS = 0.001

        /** A new version answers 10% more slowly for two minutes, until its cache is warm. */
        const val COLD_SECONDS = 120L
        const val COLD_FACTOR = 1.1
        const val LATENCY_SPREAD = 0.5
    }
}
