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

/**
 * Measures the cost of one rollout controller and of one instance's statistics at the message rates
 * of a fleet.
 */
internal class RolloutCostBenchmark(
    private val instances: Int,
    private val routes: Int,
    private val requestsPerSecond: Int,
) {
    private val plan =
        RolloutPlan("team", "drafting", Target.Model("drafting"), "7", "8", DEADLINE, 0.05)
    private val routeNames = (1..routes).map { "route-number-$it" }
    private val retained = ArrayList<Any>()

    /** Returns the size of one report after an hour at the full request rate. */
    fun reportSizeBytes(): Int = WireSize.of(report(1, 3_600), plan)

    fun warmUp(seconds: Int) {
        repeat(3) {
            controllerCpuFraction(seconds)
            instanceCpuFraction(seconds)
        }
    }

    fun controllerCpuFraction(seconds: Int): Double {
        val controller = controller()
        return cpuFraction(seconds) { second -> simulateController(controller, second) }
    }

    fun instanceCpuFraction(seconds: Int): Double {
        val statistics = statistics()
        val random = Random(1)
        return cpuFraction(seconds) { second -> simulateInstance(statistics, random, second) }
    }

    fun controllerHeapBytes(): Long = heapBytesOf {
        controller().also { for (second in 1L..60) simulateController(it, second) }
    }

    fun instanceHeapBytes(): Long = heapBytesOf {
        val random = Random(1)
        statistics().also { for (second in 1L..60) simulateInstance(it, random, second) }
    }

    private fun controller(): RolloutController {
        val controller = RolloutController("i1", plan.teamTarget)
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
        controller.on(ControllerEvent.PlansUpdated(listOf(plan)), 0)
        controller.on(ControllerEvent.LeaseGranted("lease", 0, DEADLINE), 0)
        controller.on(ControllerEvent.RecordsRead(listOf(StoredRecord(record, 1))), 0)
        return controller
    }

    // Every instance reports once per period. The reports are spread evenly over the period.
    private fun simulateController(controller: RolloutController, second: Long) {
        val period = RolloutIntervals().reportPeriodMillis(instances, reportSizeBytes()) / MILLIS
        val slot = second % period
        for (instance in 0 until instances) {
            if (instance % period != slot) continue
            controller.on(ControllerEvent.StatsReceived(report(instance, second)), second * MILLIS)
        }
        controller.on(ControllerEvent.Tick, second * MILLIS)
    }

    private fun simulateInstance(statistics: InstanceStatistics, random: Random, second: Long) {
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

    private fun heapBytesOf(create: () -> Any): Long {
        retained.clear()
        val before = usedHeapBytes()
        repeat(HEAP_SAMPLE_COPIES) { retained += create() }
        return (usedHeapBytes() - before) / HEAP_SAMPLE_COPIES
    }

    private fun usedHeapBytes(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private companion object {
        const val DEADLINE = 7_200_000L
        const val MILLIS = 1_000L
        const val NANOS = 1e9
        const val HEAP_SAMPLE_COPIES = 20
    }
}
