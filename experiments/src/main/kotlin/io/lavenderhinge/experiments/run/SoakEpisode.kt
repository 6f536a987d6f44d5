package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.cluster.Cluster
import io.lavenderhinge.experiments.cluster.FaultInjector
import io.lavenderhinge.experiments.cluster.Invariant
import io.lavenderhinge.experiments.scheduler.NamedScheduler
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import io.lavenderhinge.experiments.workload.ArrivalProcess
import io.lavenderhinge.experiments.workload.Deployment
import io.lavenderhinge.experiments.workload.RequestGenerator
import io.lavenderhinge.experiments.workload.seededRandom

/** Parameters of one soak episode; [seed] determines its requests and faults. */
internal data class SoakPlan(
    val deployment: Deployment,
    val scheduler: NamedScheduler,
    val seed: Long,
    val durationSeconds: Int,
    val capacityPerSecond: Double,
)

/** Result of one soak episode. [failure] is the stack trace if the episode threw an exception. */
internal data class SoakResult(
    val seed: Long,
    val requests: Int,
    val goodFraction: Double,
    val faults: Int,
    val violations: Map<Invariant, Int>,
    val violationTexts: List<String>,
    val failure: String?,
) {
    val isClean: Boolean
        get() = violations.isEmpty() && failure == null
}

/** Runs a scheduler near capacity under random faults and checks the invariants. */
internal class SoakEpisode(private val plan: SoakPlan) {
    private val loop = EventLoop()
    private val cluster = Cluster(plan.deployment, plan.scheduler.factory, loop, plan.seed)
    private val actions = FaultInjector(cluster, loop)
    private val faultInjector =
        RandomFaultInjector(plan.deployment, loop, actions, seededRandom(plan.seed, "faults"))
    private val loadGenerator =
        LoadGenerator(
            cluster,
            loop,
            RequestGenerator(plan.deployment, plan.seed),
            ArrivalProcess(plan.capacityPerSecond, plan.seed),
            RandomFaultInjector.MAX_ARRIVAL_FACTOR,
            actions::arrivalFactor,
        )

    fun run(): SoakResult {
        val failure = runCatching { runToEnd() }.exceptionOrNull()
        val records = cluster.requests.records
        return SoakResult(
            plan.seed,
            records.size,
            records.count { it.meetsTargets }.toDouble() / maxOf(1, records.size),
            faultInjector.count,
            applicableInvariants().associateWith(cluster.violations::count).filterValues { it > 0 },
            cluster.violations.descriptions,
            failure?.stackTraceToString(),
        )
    }

    private fun runToEnd() {
        cluster.start()
        loadGenerator.start()
        faultInjector.start()
        loop.runUntil(plan.durationSeconds * MICROS_PER_SECOND)
        loadGenerator.stop()
        faultInjector.stop()
        loop.runWhile { cluster.requests.active.isNotEmpty() }
        // Effects that the scheduler emits after the last request must not violate an invariant.
        loop.runUntil(loop.nowMicros + SETTLE_SECONDS * MICROS_PER_SECOND)
        cluster.requests.checkAllEnded()
    }

    private fun applicableInvariants(): List<Invariant> =
        Invariant.entries.filter {
            it != Invariant.TOP_TIER_FIRST || plan.scheduler.enforcesPriority
        }

    private companion object {
        const val SETTLE_SECONDS = 60L
    }
}
