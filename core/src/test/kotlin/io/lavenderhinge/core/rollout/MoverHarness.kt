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

/** Faults of the key-value service as one mover sees them. */
internal class StoreFaults(
    var down: Boolean = false,
    var loseAnswers: Boolean = false,
    var polled: Boolean = true,
)

/** Two movers, one key-value service and four engines in virtual time. */
internal class MoverHarness(var plans: List<RolloutPlan> = listOf(planUnderTest)) {
    val store = HashMap<String, StoredRecord>()
    val shares = mutableListOf<Double>()
    val orders = mutableListOf<MoverEffect.OrderLoad>()
    val flags = mutableListOf<StopFlag>()
    val statements = HashMap<String, String>()
    val faults = StoreFaults()
    val movers = linkedMapOf("a" to mover("a"), "b" to mover("b"))
    val paused = HashSet<String>()
    var fencedAt = 0L
    var weights = true
    var nowMillis = 0L
    private var leaseHolder: String? = null
    private var leaseUntil = 0L

    private fun mover(id: String) = Mover(id, planUnderTest.teamTarget)

    fun record(name: String = "drafting"): RolloutRecord? = store["rollout/caprock/$name"]?.record

    fun phase(): RolloutPhase? = record()?.phase

    /** Runs until [done] or for [millis]. */
    fun run(millis: Long, traffic: (Mover) -> Unit = {}, done: () -> Boolean = { false }) {
        val end = nowMillis + millis
        while (nowMillis < end && !done()) {
            nowMillis += 1_000
            for ((id, mover) in movers.toList()) if (id !in paused) step(id, mover, traffic)
        }
    }

    private fun step(id: String, mover: Mover, traffic: (Mover) -> Unit) {
        handle(id, mover, mover.on(MoverEvent.PlansInForce(plans), nowMillis))
        mover.on(MoverEvent.Candidacy(true), nowMillis)
        val engines = (1..4).map { ServerVersion("e$it", "7", takesOrders = true) }
        mover.on(MoverEvent.ServersSeen(engines), nowMillis)
        mover.on(MoverEvent.Stopped(flags.toList()), nowMillis)
        if (faults.polled && !faults.down)
            mover.on(MoverEvent.RecordsRead(store.values.toList()), nowMillis)
        traffic(mover)
        handle(id, mover, mover.on(MoverEvent.Tick, nowMillis))
    }

    fun handle(id: String, mover: Mover, effects: List<MoverEffect>) =
        effects.forEach { mover.on(answer(id, it) ?: return@forEach, nowMillis) }

    private fun answer(id: String, effect: MoverEffect): MoverEvent? =
        when (effect) {
            is MoverEffect.ClaimLease,
            is MoverEffect.RenewLease -> lease(id)
            is MoverEffect.ReadRecords ->
                if (faults.down) MoverEvent.StoreUnavailable
                else MoverEvent.RecordsRead(store.values.toList())
            is MoverEffect.WriteRecord -> write(effect)
            is MoverEffect.CheckWeights -> MoverEvent.WeightsChecked(effect.version, weights)
            is MoverEffect.OrderLoad -> {
                orders += effect
                if (effect.fencingNumber < fencedAt) MoverEvent.Fenced(fencedAt)
                else MoverEvent.Loaded(effect.serverId, effect.version)
            }
            is MoverEffect.RaiseStop -> null.also { flags += effect.flag }
            is MoverEffect.Publish -> null.also { statements[effect.plan.name] = effect.statement }
        }

    private fun lease(id: String): MoverEvent {
        if (faults.down) return MoverEvent.LeaseUnanswered
        if (leaseHolder != id && nowMillis < leaseUntil) return MoverEvent.LeaseRefused
        leaseHolder = id
        leaseUntil = nowMillis + MoverLease.TIME_TO_LIVE_MILLIS
        return MoverEvent.LeaseHeld("lease-$id", nowMillis, MoverLease.TIME_TO_LIVE_MILLIS)
    }

    fun write(effect: MoverEffect.WriteRecord): MoverEvent {
        if (faults.down) return MoverEvent.StoreUnavailable
        val key = effect.record.plan.recordKey
        val version = store[key]?.version ?: 0
        if (effect.expectedVersion != version) return MoverEvent.WriteUndecided
        store[key] = StoredRecord(effect.record, version + 1)
        shares += effect.record.shareFraction
        if (faults.loseAnswers) return MoverEvent.WriteUndecided
        return MoverEvent.Written(effect.record, version + 1)
    }

    private var oldTotal = 0L
    private var newTotal = 0L
    private var errorTotal = 0L
    private var countedStep = 0

    /** Cumulative reports of one instance; [newErrors] of every 100 requests of "8" fail. */
    fun traffic(newErrors: Int = 0, routes: List<String> = listOf("draft")): (Mover) -> Unit =
        { mover ->
            val step = record()?.stepNumber ?: 0
            if (step != countedStep) {
                oldTotal = 0
                newTotal = 0
                errorTotal = 0
                countedStep = step
            }
            oldTotal += 100
            newTotal += 5
            errorTotal = newTotal * newErrors / 100
            val counts =
                RouteCounts(VersionCounts(oldTotal), VersionCounts(newTotal, errorTotal, 0))
            val byRoute = routes.associateWith { counts }
            val report =
                StatsReport(
                    record()?.plan?.rolloutId ?: "",
                    step,
                    "i1",
                    persistentMapOf<String, RouteCounts>().putAll(byRoute),
                )
            mover.on(MoverEvent.Stats(report), nowMillis)
        }
}
