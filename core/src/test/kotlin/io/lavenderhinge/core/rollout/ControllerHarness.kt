package io.lavenderhinge.core.rollout

import io.lavenderhinge.core.settings.Target
import kotlinx.collections.immutable.persistentMapOf

internal const val HOUR = 3_600_000L

internal fun planTo(
    to: String,
    name: String = "drafting",
    deadlineMillis: Long = HOUR,
    share: Double = 0.05,
) = RolloutPlan("caprock", name, Target.Model("drafting"), "7", to, deadlineMillis, share)

internal val planUnderTest = planTo("8")

/** Simulated faults of the key-value service. */
internal class StoreFaults(
    var down: Boolean = false,
    var loseAnswers: Boolean = false,
    var readEachStep: Boolean = true,
)

/** Two controllers, one key-value service and four engines in virtual time. */
internal class ControllerHarness(var plans: List<RolloutPlan> = listOf(planUnderTest)) {
    val store = HashMap<String, StoredRecord>()
    val shares = mutableListOf<Double>()
    val orders = mutableListOf<ControllerEffect.OrderLoad>()
    val flags = mutableListOf<StopFlag>()
    val statements = HashMap<String, String>()
    val faults = StoreFaults()
    val controllers = linkedMapOf("a" to controller("a"), "b" to controller("b"))
    val pausedIds = HashSet<String>()
    var highestFencingNumber = 0L
    var weightsPresent = true
    var nowMillis = 0L
    private var leaseHolder: String? = null
    private var leaseEndMillis = 0L

    private fun controller(id: String) = RolloutController(id, planUnderTest.teamTarget)

    fun record(name: String = "drafting"): RolloutRecord? = store["rollout/caprock/$name"]?.record

    fun phase(): RolloutPhase? = record()?.phase

    /** Runs until [done] returns true, at most for [millis]. */
    fun run(
        millis: Long,
        traffic: (RolloutController) -> Unit = {},
        done: () -> Boolean = { false },
    ) {
        val end = nowMillis + millis
        while (nowMillis < end && !done()) {
            nowMillis += 1_000
            for ((id, controller) in controllers.toList()) if (id !in pausedIds)
                step(id, controller, traffic)
        }
    }

    private fun step(
        id: String,
        controller: RolloutController,
        traffic: (RolloutController) -> Unit,
    ) {
        handle(id, controller, controller.on(ControllerEvent.PlansUpdated(plans), nowMillis))
        controller.on(ControllerEvent.Candidacy(true), nowMillis)
        val engines = (1..4).map { ServerVersion("e$it", "7", takesOrders = true) }
        controller.on(ControllerEvent.ServersUpdated(engines), nowMillis)
        controller.on(ControllerEvent.StopFlagsReceived(flags.toList()), nowMillis)
        if (faults.readEachStep && !faults.down)
            controller.on(ControllerEvent.RecordsRead(store.values.toList()), nowMillis)
        traffic(controller)
        handle(id, controller, controller.on(ControllerEvent.Tick, nowMillis))
    }

    fun handle(id: String, controller: RolloutController, effects: List<ControllerEffect>) =
        effects.forEach { controller.on(answer(id, it) ?: return@forEach, nowMillis) }

    private fun answer(id: String, effect: ControllerEffect): ControllerEvent? =
        when (effect) {
            is ControllerEffect.AcquireLease,
            is ControllerEffect.RenewLease -> lease(id)
            is ControllerEffect.ReadRecords ->
                if (faults.down) ControllerEvent.StoreUnavailable
                else ControllerEvent.RecordsRead(store.values.toList())
            is ControllerEffect.WriteRecord -> write(effect)
            is ControllerEffect.CheckWeights ->
                ControllerEvent.WeightsChecked(effect.version, weightsPresent)
            is ControllerEffect.OrderLoad -> {
                orders += effect
                if (effect.fencingNumber < highestFencingNumber)
                    ControllerEvent.Fenced(highestFencingNumber)
                else ControllerEvent.VersionLoaded(effect.serverId, effect.version)
            }
            is ControllerEffect.RaiseStopFlag -> null.also { flags += effect.flag }
            is ControllerEffect.PublishStatement ->
                null.also { statements[effect.plan.name] = effect.statement }
        }

    private fun lease(id: String): ControllerEvent {
        if (faults.down) return ControllerEvent.LeaseCallFailed
        if (leaseHolder != id && nowMillis < leaseEndMillis) return ControllerEvent.LeaseRefused
        leaseHolder = id
        leaseEndMillis = nowMillis + ControllerLease.TIME_TO_LIVE_MILLIS
        return ControllerEvent.LeaseGranted(
            "lease-$id",
            nowMillis,
            ControllerLease.TIME_TO_LIVE_MILLIS,
        )
    }

    fun write(effect: ControllerEffect.WriteRecord): ControllerEvent {
        if (faults.down) return ControllerEvent.StoreUnavailable
        val key = effect.record.plan.recordKey
        val version = store[key]?.version ?: 0
        if (effect.expectedVersion != version) return ControllerEvent.WriteUnconfirmed
        store[key] = StoredRecord(effect.record, version + 1)
        shares += effect.record.shareFraction
        if (faults.loseAnswers) return ControllerEvent.WriteUnconfirmed
        return ControllerEvent.RecordWritten(effect.record, version + 1)
    }

    private var oldTotal = 0L
    private var newTotal = 0L
    private var errorTotal = 0L
    private var reportedStep = 0

    /**
     * Reports cumulative counts of one instance; [newErrors] of every 100 requests to version "8"
     * fail.
     */
    fun traffic(
        newErrors: Int = 0,
        routes: List<String> = listOf("draft"),
    ): (RolloutController) -> Unit = { controller ->
        val step = record()?.stepNumber ?: 0
        if (step != reportedStep) {
            oldTotal = 0
            newTotal = 0
            errorTotal = 0
            reportedStep = step
        }
        oldTotal += 100
        newTotal += 5
        errorTotal = newTotal * newErrors / 100
        val counts = RouteCounts(VersionCounts(oldTotal), VersionCounts(newTotal, errorTotal, 0))
        val byRoute = routes.associateWith { counts }
        val report =
            StatsReport(
                record()?.plan?.rolloutId ?: "",
                step,
                "i1",
                persistentMapOf<String, RouteCounts>().putAll(byRoute),
            )
        controller.on(ControllerEvent.StatsReceived(report), nowMillis)
    }
}
