package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.workload.Deployment
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Runs independent scenarios on [parallelRuns] threads; each run has its own virtual time. */
internal class ScenarioRunner(private val parallelRuns: Int = defaultParallelRuns()) {
    private val capacityByDeployment = ConcurrentHashMap<String, Double>()

    /** Measured capacity of [deployment], found once in the life of this runner. */
    fun capacityPerSecond(deployment: Deployment): Double =
        capacityByDeployment.computeIfAbsent(deployment.name) {
            CapacityRun(deployment).requestsPerSecond()
        }

    /** Runs each scenario with [seeds] seeds from its own on, and adds up their results. */
    fun run(scenarios: List<Scenario>, seeds: Int): List<RunResult> = onThreads { executor ->
        val pending =
            scenarios.map { scenario ->
                List(seeds) { scenario.copy(seed = scenario.seed + it) }
                    .map { executor.submit(Callable { ExperimentRun(it).run() }) }
            }
        pending.map { runs -> runs.map { it.get() }.reduce(RunResult::plus) }
    }

    /** Runs the episodes of [plans] and tells each result in order as soon as it is known. */
    fun soak(plans: List<SoakPlan>, tell: (SoakResult) -> Unit): List<SoakResult> =
        onThreads { executor ->
            val pending = plans.map { executor.submit(Callable { SoakEpisode(it).run() }) }
            pending.map { it.get().also(tell) }
        }

    private fun <T> onThreads(action: (ExecutorService) -> T): T {
        val executor = Executors.newFixedThreadPool(parallelRuns)
        try {
            return action(executor)
        } finally {
            executor.shutdownNow()
        }
    }

    private companion object {
        // Two cores stay free for whatever else runs on the machine.
        fun defaultParallelRuns(): Int = maxOf(1, Runtime.getRuntime().availableProcessors() - 2)
    }
}
