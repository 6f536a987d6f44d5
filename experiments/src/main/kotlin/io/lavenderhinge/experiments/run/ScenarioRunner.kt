package io.lavenderhinge.experiments.run

import io.lavenderhinge.experiments.workload.Deployment
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Runs independent scenarios on [parallelRuns] threads; each run has its own virtual clock. */
internal class ScenarioRunner(private val parallelRuns: Int = defaultParallelRuns()) {
    private val capacityByDeployment = ConcurrentHashMap<String, Double>()

    /** Returns the measured capacity of [deployment]; cached for the lifetime of this runner. */
    fun capacityPerSecond(deployment: Deployment): Double =
        capacityByDeployment.computeIfAbsent(deployment.name) {
            CapacityRun(deployment).requestsPerSecond()
        }

    /** Runs each scenario with [seeds] consecutive seeds and merges the results per scenario. */
    fun run(scenarios: List<Scenario>, seeds: Int): List<RunResult> = withThreadPool { executor ->
        val pending =
            scenarios.map { scenario ->
                List(seeds) { scenario.copy(seed = scenario.seed + it) }
                    .map { executor.submit(Callable { ExperimentRun(it).run() }) }
            }
        pending.map { runs -> runs.map { it.get() }.reduce(RunResult::plus) }
    }

    /** Runs an episode for each of [plans] and passes the results to [onResult] in plan order. */
    fun soak(plans: List<SoakPlan>, onResult: (SoakResult) -> Unit): List<SoakResult> =
        withThreadPool { executor ->
            val pending = plans.map { executor.submit(Callable { SoakEpisode(it).run() }) }
            pending.map { it.get().also(onResult) }
        }

    private fun <T> withThreadPool(action: (ExecutorService) -> T): T {
        val executor = Executors.newFixedThreadPool(parallelRuns)
        try {
            return action(executor)
        } finally {
            executor.shutdownNow()
        }
    }

    private companion object {
        // Leaves two cores to other processes on the machine.
        fun defaultParallelRuns(): Int = maxOf(1, Runtime.getRuntime().availableProcessors() - 2)
    }
}
