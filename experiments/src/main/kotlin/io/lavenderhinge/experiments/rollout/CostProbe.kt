package io.lavenderhinge.experiments.rollout

import io.lavenderhinge.core.rollout.ControllerEvent
import io.lavenderhinge.core.rollout.InstanceStatistics
import io.lavenderhinge.core.rollout.RequestOutcome
import io.lavenderhinge.core.rollout.RolloutController
import io.lavenderhinge.core.rollout.RolloutIntervals
import io.lavenderhinge.core.rollout.RolloutPhase
import io.lavenderhinge.core.rollout.RolloutPlan
import io.lavenderhinge.core.rollout.RolloutRecord
import io.lavenderhinge.core.rollout.RouteCounts
import io.lavenderhinge.core.rollout.StatsReport
import io.lavenderhinge.core.rollout.StoredRecord
import io.lavenderhinge.core.rollout.TestWindow
import io.lavenderhinge.core.rollout.VersionCounts
import io.lavenderhinge.core.settings.Target
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableMap

/** Drives one mover or one instance's statistics at the pace of a fleet, and measures it. */
internal class CostProbe(
    private val instances: Int,
    private val routes: Int,
    private val requestsPerSecond: Int,
) {
    private val plan =
        RolloutPlan("team", "drafting", Target.Model("drafting"), "7", "8", DEADLINE, 0.05)
    private val routeNames = (1..routes).map { "route-number-$it" }
    private val kept = ArrayList<Any>()

    /** Size of one report after an hour at full rate. */
    fun reportBytes(): Int = WireSize.of(report(1, 3_600), plan)

    fun warmUp(seconds: Int) {
        repeat(3) {
            moverCpuFraction(seconds)
            instanceCpuFraction(seconds)
        }
    }

    fun moverCpuFraction(seconds: Int): Double {
        val mover = mover()
        return cpuFraction(seconds) { second -> feedMover(mover, second) }
    }

    fun instanceCpuFraction(seconds: Int): Double {
        val statistics = statistics()
        val random = Random(1)
        return cpuFraction(seconds) { second -> feedInstance(statistics, random, second) }
    }

    fun moverBytes(): Long = heapOf {
        mover().also { for (second in 1L..60) feedMover(it, second) }
    }

    fun instanceBytes(): Long = heapOf {
        val random = Random(1)
        statistics().also { for (second in 1L..60) feedInstance(it, random, second) }
    }

    private fun mover(): RolloutController {
        val mover = RolloutController("i1", plan.teamTarget)
        val record =
            RolloutRecord(
                plan,
                RolloutPhase.MOVING,
                stepNumber = 1,
                shareFraction = 0.01,
                startedAtMillis = 0,
                stepSinceMillis = 0,
                controllerId = "i1",
                controllerCount = 1,
            )
        mover.on(ControllerEvent.PlansUpdated(listOf(plan)), 0)
        mover.on(ControllerEvent.LeaseGranted("lease", 0, DEADLINE), 0)
        mover.on(ControllerEvent.RecordsRead(listOf(StoredRecord(record, 1))), 0)
        return mover
    }

    // Every instance reports once a period, evenly spread over the seconds of the period.
    private fun feedMover(mover: RolloutController, second: Long) {
        val period = RolloutIntervals().reportPeriodMillis(instances, reportBytes()) / MILLIS
        val slot = second % period
        for (instance in 0 until instances) {
            if (instance % period != slot) continue
            mover.on(ControllerEvent.StatsReceived(report(instance, second)), second * MILLIS)
        }
        mover.on(ControllerEvent.Tick, second * MILLIS)
    }

    private fun feedInstance(statistics: InstanceStatistics, random: Random, second: Long) {
        repeat(requestsPerSecond) {
            val version = if (random.nextInt(20) == 0) "8" else "7"
            val outcome = RequestOutcome.Answered(100 + random.nextLong(300))
            statistics.observe(routeNames[it % routes], version, outcome)
        }
        statistics.evaluate(second * MILLIS)
        statistics.report()
    }

    private fun report(instance: Int, second: Long): StatsReport {
        val total = second * requestsPerSecond / routes
        val counts =
            RouteCounts(
                VersionCounts(total, total / 1_000, total / 20),
                VersionCounts(total / 20, total / 20_000, total / 400),
            )
        val byRoute = routeNames.associateWith { counts }.toImmutableMap()
        return StatsReport(plan.rolloutId, 1, "instance-$instance@1764800000000", byRoute)
    }

    private fun statistics() =
        InstanceStatistics(plan, "i1", Double.MAX_VALUE, TestWindow(0, DEADLINE))

    private fun cpuFraction(seconds: Int, work: (Long) -> Unit): Double {
        val threads = ManagementFactory.getThreadMXBean()
        val begin = threads.currentThreadCpuTime
        for (second in 1L..seconds) work(second)
        return (threads.currentThreadCpuTime - begin) / NANOS / seconds
    }

    private fun heapOf(create: () -> Any): Long {
        kept.clear()
        val before = usedHeap()
        repeat(COPIES) { kept += create() }
        return (usedHeap() - before) / COPIES
    }

    private fun usedHeap(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private companion object {
        const val DEADLINE = 7_200_000L
        const val MILLIS = 1_000L
        const val NANOS = 1e9
        const val COPIES = 20
    }
}
